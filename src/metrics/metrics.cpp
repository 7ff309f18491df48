#include "plumspoke/metrics/metrics.hpp"

#include "plumspoke/error/invariant.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <set>
#include <sstream>

namespace plumspoke::metrics
{

namespace
{

namespace bh = boost::histogram;

constexpr unsigned bin_count = 120;
constexpr double lowest_us = 10;
constexpr double highest_us = 600e6;
constexpr unsigned bins_per_bucket = 6; // the text format has one bucket for every six bins
constexpr double microseconds_per_second = 1e6;

using log_axis =
    bh::axis::regular<double, bh::axis::transform::log, bh::use_default, bh::axis::option::bitset<3>>;
using storage_type = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using histogram_type = bh::histogram<std::tuple<log_axis>, storage_type>;

} // namespace

struct latency_histogram::bins
{
    histogram_type histogram{std::make_tuple(log_axis(bin_count, lowest_us, highest_us)), storage_type()};
};

latency_histogram::latency_histogram() : bins_(std::make_unique<bins>())
{
}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(std::int64_t microseconds) noexcept
{
    bins_->histogram(static_cast<double>(std::max<std::int64_t>(microseconds, 1)));
    sum_us_.fetch_add(static_cast<std::uint64_t>(std::max<std::int64_t>(microseconds, 0)),
                      std::memory_order_relaxed);
}

std::uint64_t latency_histogram::count() const
{
    std::uint64_t total = 0;
    for (const auto& bin : bh::indexed(bins_->histogram, bh::coverage::all))
    {
        total += static_cast<std::uint64_t>(*bin);
    }
    return total;
}

double latency_histogram::quantile(double share) const
{
    const std::uint64_t total = count();
    if (total == 0)
    {
        return 0;
    }
    const double wanted = share * static_cast<double>(total);
    double seen = 0;
    for (const auto& bin : bh::indexed(bins_->histogram, bh::coverage::all))
    {
        seen += static_cast<double>(static_cast<std::uint64_t>(*bin));
        if (seen >= wanted)
        {
            return std::min(bin.bin().upper(), highest_us);
        }
    }
    return highest_us;
}

void latency_histogram::write(std::string& out, std::string_view name, std::string_view labels) const
{
    std::ostringstream text;
    std::uint64_t seen = 0;
    unsigned position = 0;
    const std::string prefix = labels.empty() ? std::string() : std::string(labels) + ",";
    for (const auto& bin : bh::indexed(bins_->histogram, bh::coverage::all))
    {
        seen += static_cast<std::uint64_t>(*bin);
        if (position % bins_per_bucket == 0 && bin.bin().upper() < highest_us)
        {
            text << name << "_bucket{" << prefix << "le=\"" << bin.bin().upper() / microseconds_per_second
                 << "\"} " << seen << "\n";
        }
        ++position;
    }
    const std::string braces = labels.empty() ? std::string() : "{" + std::string(labels) + "}";
    text << name << "_bucket{" << prefix << "le=\"+Inf\"} " << seen << "\n";
    text << name << "_sum" << braces << " " << static_cast<double>(sum_us_.load()) / microseconds_per_second
         << "\n";
    text << name << "_count" << braces << " " << seen << "\n";
    out += text.str();
}

std::string label(std::string_view key, std::string_view value)
{
    std::string out(key);
    out += "=\"";
    for (const char letter : value)
    {
        if (letter == '"' || letter == '\\')
        {
            out += '\\';
        }
        out += letter == '\n' ? ' ' : letter;
    }
    out += '"';
    return out;
}

void add_invariant_lines(std::vector<counter_line>& lines)
{
    const error::invariant_counts counts = error::read_invariant_counts();
    for (std::size_t i = 0; i < error::invariant_count; ++i)
    {
        const std::string name = label("invariant", error::to_string(static_cast<error::invariant>(i)));
        lines.push_back({"plumspoke_invariant_checks_total", name, counts.checked.at(i)});
    }
    for (std::size_t i = 0; i < error::invariant_count; ++i)
    {
        const std::string name = label("invariant", error::to_string(static_cast<error::invariant>(i)));
        lines.push_back({"plumspoke_invariant_broken_total", name, counts.broken.at(i)});
    }
}

std::string write_counters(std::span<const counter_line> lines)
{
    std::ostringstream out;
    std::set<std::string> typed;
    for (const counter_line& line : lines)
    {
        if (typed.insert(line.name).second)
        {
            out << "# TYPE " << line.name << " counter\n";
        }
        out << line.name;
        if (!line.labels.empty())
        {
            out << '{' << line.labels << '}';
        }
        out << ' ' << line.value << '\n';
    }
    return out.str();
}

} // namespace plumspoke::metrics
