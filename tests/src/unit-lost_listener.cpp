/// @file
/// @brief A control VM that ran out of descriptors is reached again once it has some.
///
/// Symptom: a former leader stood for election in its first term, alone, for 35 s; nobody could connect to
/// it, until its process was started again. Sequence: the process uses its last descriptors; a peer connects;
/// accept fails with "Too many open files"; the descriptors come free again; each further connection hangs.
/// Cause: the gRPC library gives a listening socket up for good where accept fails, and only logs that.
/// Settled by: the last line of that process's log before the first hanging connection, and by this test.

#include "plumspoke/job_server/control_server.hpp"

#include "../../platform/control_plane.hpp"
#include "../../platform/workers.hpp"
#include "control_channel.hpp"
#include "grpc_log.hpp"
#include "single_control_vm_fixture.hpp"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <filesystem>
#include <sys/resource.h>
#include <unistd.h>

using namespace plumspoke;

namespace
{

/// @brief Lowers this process's limit of descriptors, and takes all that are left; puts both back at the end.
class no_descriptors
{
  public:
    explicit no_descriptors(rlim_t limit)
    {
        REQUIRE(::getrlimit(RLIMIT_NOFILE, &before_) == 0);
        const rlimit low{limit, before_.rlim_max};
        REQUIRE(::setrlimit(RLIMIT_NOFILE, &low) == 0);
        for (int one = ::open("/dev/null", O_RDONLY); one >= 0; one = ::open("/dev/null", O_RDONLY))
        {
            taken_.push_back(one);
        }
    }
    no_descriptors(const no_descriptors&) = delete;
    no_descriptors& operator=(const no_descriptors&) = delete;
    ~no_descriptors()
    {
        std::for_each(taken_.begin(), taken_.end(), &::close);
        (void)::setrlimit(RLIMIT_NOFILE, &before_);
    }

  private:
    rlimit before_{};
    std::vector<int> taken_;
};

bool answers(const std::string& address, milliseconds limit)
{
    job_server::control_channel to(address);
    grpc::ClientContext context;
    job_server::set_timeout(context, limit);
    wire::LeaderAnswer answer;
    const time_point begun = std::chrono::steady_clock::now();
    const grpc::Status status = to.stub().Leader(&context, {}, &answer);
    const auto took = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begun);
    UNSCOPED_INFO("asked for " << took.count() << " ms: code " << status.error_code() << ", "
                               << status.error_message());
    return status.ok();
}

int open_files()
{
    const auto all = std::filesystem::directory_iterator("/proc/self/fd");
    return static_cast<int>(std::distance(begin(all), end(all)));
}

} // namespace

TEST_CASE("a process that had no descriptors left for a moment is reached again")
{
    std::string folder = (std::filesystem::temp_directory_path() / "plumspoke-listener-XXXXXX").string();
    REQUIRE(::mkdtemp(folder.data()) != nullptr);
    const settings::job_settings settings = test::single_control_vm(folder);
    const platform::control_plane operators;
    const platform::workers workers;
    const auto no_seeds = []
    {
        return std::vector<std::string>{};
    };
    job_server::control_server server(settings, no_seeds, operators, workers);
    REQUIRE_FALSE(server.start());
    REQUIRE(answers(settings.internal, milliseconds(2000)));
    const int waiting = ::socket(AF_INET, SOCK_STREAM, 0);
    {
        constexpr rlim_t spare = 8;
        const no_descriptors none(static_cast<rlim_t>(open_files()) + spare);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(settings.internal.substr(10))));
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(waiting, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
        std::this_thread::sleep_for(milliseconds(300)); // accept fails meanwhile
    }
    ::close(waiting);
    REQUIRE(job_server::failed_accepts() > 0);
    // Two looks of the process at itself, and the old server's end.
    std::this_thread::sleep_for(milliseconds(1000));
    CHECK(answers(settings.internal, milliseconds(1000)));
    server.stop();
    std::filesystem::remove_all(folder);
}
