#include "plumspoke/operator/error_list.hpp"

#include "plumspoke/control/error.hpp"
#include "plumspoke/endpoint/error.hpp"
#include "plumspoke/operator/error.hpp"
#include "plumspoke/replica/error.hpp"
#include "plumspoke/vm_list/list.hpp"
#include "plumspoke/worker/error.hpp"

#include <array>
#include <sstream>

namespace plumspoke::operators
{

std::string describe_errors()
{
    const std::array<const error::listed_category*, 6> categories = {&replica::category(),
                                                                     &control::category(),
                                                                     &operators::category(),
                                                                     &worker::category(),
                                                                     &endpoint::category(),
                                                                     &vm_list::category()};
    std::ostringstream out;
    out << "| id | layer | name | meaning |\n|---|---|---|---|\n";
    for (const error::listed_category* category : categories)
    {
        for (const error::listed_error& one : category->errors())
        {
            out << "| " << one.id << " | " << category->name() << " | " << one.name << " | " << one.meaning
                << " |\n";
        }
    }
    return out.str();
}

} // namespace plumspoke::operators
