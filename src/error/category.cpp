#include "plumspoke/error/category.hpp"

namespace plumspoke::error
{

std::string listed_category::message(int id) const
{
    for (const listed_error& entry : errors_)
    {
        if (entry.id == id)
        {
            return std::string(entry.name) + ": " + std::string(entry.meaning) + " (plumspoke." +
                   std::to_string(id) + ")";
        }
    }
    return "unknown error (plumspoke." + std::to_string(id) + ")";
}

} // namespace plumspoke::error
