#include "plumspoke/settings/document.hpp"

#include <fstream>
#include <sstream>

namespace plumspoke::settings
{

std::optional<std::string> read_text(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
    {
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

nlohmann::json read_document(const std::string& path, std::vector<fault>& faults)
{
    const std::optional<std::string> text = read_text(path);
    if (!text.has_value())
    {
        faults.push_back({"/", "the file " + path + " can't be read"});
        return nullptr;
    }
    return parse_text(*text, faults);
}

} // namespace plumspoke::settings
