#include "conversation.hpp"

#include "plumspoke/settings/document.hpp"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>
#include <cstdlib>
#include <iostream>
#include <random>
#include <sstream>
#include <vector>

ABSL_FLAG(std::string,
          control,
          "127.0.0.1:7101",
          "control VMs' HTTP addresses, IP:PORT, separated by commas");
ABSL_FLAG(bool, json, false, "print what control answered, as JSON");
ABSL_FLAG(std::string, operator, "", "who asks; the login name where empty");
ABSL_FLAG(std::string, request, "", "the request's identity; the same one again gets the first answer again");
ABSL_FLAG(std::int64_t,
          based_on,
          -1,
          "the version that the change is based on; the present one where negative");
ABSL_FLAG(std::int64_t, limit_ms, 10000, "how long to look for an answer");
ABSL_FLAG(bool, wait, true, "after a confirm, wait until the change is in force everywhere");

namespace plumspoke::cli
{

using operators::control_answer;
using operators::control_api_client;

namespace
{

void print_error(const control_answer& answer)
{
    if (!answer.reached())
    {
        std::cerr
            << "plumspoke: no control VM answered at " << absl::GetFlag(FLAGS_control)
            << ". Check --control, and whether plumspoked runs there. The outcome is not known: send it again"
            << " with the same --request.\n";
        return;
    }
    std::cerr << "plumspoke: " << answer.body.value("message", "refused") << "\n";
    const nlohmann::json detail = answer.body.value("detail", nlohmann::json());
    if (detail.is_array())
    {
        for (const nlohmann::json& row : detail)
        {
            const std::string location =
                row.contains("path") ? row.value("path", "") : row.value("subject", "");
            const std::string message =
                row.contains("message") ? row.value("message", "") : row.value("reason", "");
            std::cerr << "  " << location << ": " << message << "\n";
        }
    }
}

} // namespace

control_api_client make_client()
{
    return {absl::StrSplit(absl::GetFlag(FLAGS_control), ','), milliseconds(absl::GetFlag(FLAGS_limit_ms))};
}

std::string request_identity()
{
    std::string given = absl::GetFlag(FLAGS_request);
    if (!given.empty())
    {
        return given;
    }
    std::random_device device;
    std::ostringstream text;
    text << std::hex << device() << device() << device();
    return text.str();
}

std::string operator_name()
{
    std::string given = absl::GetFlag(FLAGS_operator);
    if (!given.empty())
    {
        return given;
    }
    const char* login = std::getenv("USER");
    return login == nullptr ? "operator" : login;
}

int print_answer(const control_answer& answer, const std::function<void(const nlohmann::json&)>& show)
{
    if (absl::GetFlag(FLAGS_json) && answer.reached())
    {
        std::cout << answer.body.dump(2) << "\n";
    }
    else if (!answer.accepted())
    {
        print_error(answer);
    }
    else
    {
        show(answer.body);
    }
    constexpr int not_leader = 421;
    constexpr int no_answer = 504;
    if (!answer.reached() || answer.status == not_leader || answer.status == no_answer)
    {
        return exit_not_reached;
    }
    return answer.accepted() ? exit_done : exit_refused;
}

std::optional<nlohmann::json> read_document(const std::string& path)
{
    const std::optional<std::string> text = settings::read_text(path);
    if (!text.has_value())
    {
        std::cerr << "plumspoke: the file " << path << " can't be read\n";
        return std::nullopt;
    }
    std::vector<settings::fault> faults;
    nlohmann::json document = settings::parse_text(*text, faults);
    if (!faults.empty())
    {
        std::cerr << "plumspoke: " << path << " " << faults.front().message << "\n";
        return std::nullopt;
    }
    return document;
}

} // namespace plumspoke::cli
