/// @file
/// @brief Log lines are bounded and never hold the process up, whatever their reader does.

#include "plumspoke/logging/event.hpp"

#include <catch2/catch.hpp>
#include <climits>
#include <fcntl.h>
#include <unistd.h>

using namespace plumspoke;

namespace
{

/// @brief Puts a pipe that nobody reads in the place of standard output, for as long as it lives.
class stalled_output
{
  public:
    stalled_output() : saved_(::dup(STDOUT_FILENO))
    {
        REQUIRE(::pipe(ends_) == 0);
        REQUIRE(::dup2(ends_[1], STDOUT_FILENO) >= 0);
    }
    stalled_output(const stalled_output&) = delete;
    stalled_output& operator=(const stalled_output&) = delete;
    ~stalled_output()
    {
        ::dup2(saved_, STDOUT_FILENO);
        ::close(saved_);
        ::close(ends_[0]);
        ::close(ends_[1]);
    }

    /// @brief Fills the pipe up to `room` bytes from its end.
    void fill(std::size_t room) const
    {
        const int size = ::fcntl(ends_[1], F_GETPIPE_SZ);
        const std::string bytes(static_cast<std::size_t>(size) - room, '.');
        REQUIRE(::write(ends_[1], bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
    }

    /// @brief What was written behind the filling.
    [[nodiscard]] std::string read(std::size_t most) const
    {
        std::string out(most, '\0');
        const ssize_t got = ::read(ends_[0], out.data(), out.size());
        out.resize(got < 0 ? 0 : static_cast<std::size_t>(got));
        return out;
    }

  private:
    int saved_;
    int ends_[2] = {-1, -1};
};

std::string long_text()
{
    return std::string(3 * PIPE_BUF, 'x');
}

} // namespace

TEST_CASE("a log line never waits for its reader")
{
    logging::start_structured("test");
    const logging::dropped_lines before = logging::read_dropped();

    SECTION("a full pipe drops lines, and they are counted")
    {
        {
            const stalled_output output;
            output.fill(0);
            ::alarm(20); // a write that waits ends the test
            for (int i = 0; i < 10; ++i)
            {
                logging::write(logging::event("test", "full_pipe", "Not read."));
            }
            ::alarm(0);
        }
        CHECK(logging::read_dropped().not_writable == before.not_writable + 10);
    }
    SECTION("a long line doesn't wait for the rest of its room")
    {
        {
            const stalled_output output;
            output.fill(PIPE_BUF);
            ::alarm(20);
            logging::write(logging::event("test", "long_line", "Long.").with("path", long_text()));
            ::alarm(0);
        }
        SUCCEED("it returned");
    }
    SECTION("a long text is cut, the line stays whole JSON")
    {
        std::string line;
        {
            const stalled_output output;
            logging::write(logging::event("test", "cut_text", "Cut.").with("path", long_text()));
            line = output.read(4 * PIPE_BUF);
        }
        CHECK(line.size() <= PIPE_BUF);
        REQUIRE(line.size() > 2);
        CHECK(line.find("\"path\":\"xxx") != std::string::npos);
        CHECK(line.substr(line.size() - 2) == "}\n");
    }
}

TEST_CASE("an event's lines are bounded a second, and what is left out is counted")
{
    logging::start_structured("test");
    const logging::dropped_lines before = logging::read_dropped();
    {
        const stalled_output output;
        for (int i = 0; i < 200; ++i)
        {
            logging::write(logging::event("test", "often", "Often."));
        }
    }
    // 200 lines fall into two seconds at the most, each with a budget of 40.
    CHECK(logging::read_dropped().over_budget >= before.over_budget + 120);
}
