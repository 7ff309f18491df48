/// @file
/// @brief Log lines are limited in size and rate, and writing one never blocks the process.

#include "plumspoke/logging/event.hpp"

#include <catch2/catch.hpp>
#include <climits>
#include <fcntl.h>
#include <unistd.h>

using namespace plumspoke;

namespace
{

/// @brief Redirects standard output to a pipe without a reader until destruction.
class unread_output
{
  public:
    unread_output() : saved_(::dup(STDOUT_FILENO))
    {
        REQUIRE(::pipe(ends_) == 0);
        REQUIRE(::dup2(ends_[1], STDOUT_FILENO) >= 0);
    }
    unread_output(const unread_output&) = delete;
    unread_output& operator=(const unread_output&) = delete;
    ~unread_output()
    {
        ::dup2(saved_, STDOUT_FILENO);
        ::close(saved_);
        ::close(ends_[0]);
        ::close(ends_[1]);
    }

    /// @brief Fills the pipe until `free_bytes` bytes of it are free.
    void fill(std::size_t free_bytes) const
    {
        const int size = ::fcntl(ends_[1], F_GETPIPE_SZ);
        const std::string bytes(static_cast<std::size_t>(size) - free_bytes, '.');
        REQUIRE(::write(ends_[1], bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
    }

    /// @brief Reads at most `max_bytes` bytes from the pipe.
    [[nodiscard]] std::string read(std::size_t max_bytes) const
    {
        std::string text(max_bytes, '\0');
        const ssize_t bytes_read = ::read(ends_[0], text.data(), text.size());
        text.resize(bytes_read < 0 ? 0 : static_cast<std::size_t>(bytes_read));
        return text;
    }

  private:
    int saved_;
    int ends_[2] = {-1, -1};
};

std::string oversized_text()
{
    return std::string(3 * PIPE_BUF, 'x');
}

} // namespace

TEST_CASE("writing a log line never blocks on its reader")
{
    logging::start_structured("test");
    const logging::dropped_lines before = logging::read_dropped();

    SECTION("a full pipe drops lines, and they are counted")
    {
        {
            const unread_output output;
            output.fill(0);
            ::alarm(20); // SIGALRM ends the test if a write blocks
            for (int i = 0; i < 10; ++i)
            {
                logging::write(logging::event("test", "full_pipe", "Not read."));
            }
            ::alarm(0);
        }
        CHECK(logging::read_dropped().not_writable == before.not_writable + 10);
    }
    SECTION("a long line doesn't block until the rest of it fits")
    {
        {
            const unread_output output;
            output.fill(PIPE_BUF);
            ::alarm(20);
            logging::write(logging::event("test", "long_line", "Long.").with("path", oversized_text()));
            ::alarm(0);
        }
        SUCCEED("the write returned");
    }
    SECTION("a long text is truncated and the line stays valid JSON")
    {
        std::string line;
        {
            const unread_output output;
            logging::write(logging::event("test", "cut_text", "Cut.").with("path", oversized_text()));
            line = output.read(4 * PIPE_BUF);
        }
        CHECK(line.size() <= PIPE_BUF);
        REQUIRE(line.size() > 2);
        CHECK(line.find("\"path\":\"xxx") != std::string::npos);
        CHECK(line.substr(line.size() - 2) == "}\n");
    }
}

TEST_CASE("the lines of an event are rate-limited, and dropped lines are counted")
{
    logging::start_structured("test");
    const logging::dropped_lines before = logging::read_dropped();
    {
        const unread_output output;
        for (int i = 0; i < 200; ++i)
        {
            logging::write(logging::event("test", "often", "Often."));
        }
    }
    // The 200 lines span at most two seconds, each with a budget of 40 lines.
    CHECK(logging::read_dropped().over_budget >= before.over_budget + 120);
}
