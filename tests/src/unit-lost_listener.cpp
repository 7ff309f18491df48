/// @file
/// @brief A control VM that ran out of file descriptors accepts connections again once some are free.
///
/// Guards against a listener that stays dead: when accept fails with "Too many open files", the gRPC library
/// abandons the listening socket for good and only logs that. Every later connection hangs, also after
/// descriptors are free again; a former leader was unreachable in this way for 35 s, until its restart.

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

/// @brief Lowers the file descriptor limit of this process and opens all that remain; undone on destruction.
class descriptor_exhaustion
{
  public:
    explicit descriptor_exhaustion(rlim_t limit)
    {
        REQUIRE(::getrlimit(RLIMIT_NOFILE, &original_limit_) == 0);
        const rlimit lowered{limit, original_limit_.rlim_max};
        REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
        for (int descriptor = ::open("/dev/null", O_RDONLY); descriptor >= 0;
             descriptor = ::open("/dev/null", O_RDONLY))
        {
            opened_.push_back(descriptor);
        }
    }
    descriptor_exhaustion(const descriptor_exhaustion&) = delete;
    descriptor_exhaustion& operator=(const descriptor_exhaustion&) = delete;
    ~descriptor_exhaustion()
    {
        std::for_each(opened_.begin(), opened_.end(), &::close);
        (void)::setrlimit(RLIMIT_NOFILE, &original_limit_);
    }

  private:
    rlimit original_limit_{};
    std::vector<int> opened_;
};

bool responds(const std::string& address, milliseconds limit)
{
    job_server::control_channel to(address);
    grpc::ClientContext context;
    job_server::set_timeout(context, limit);
    wire::LeaderAnswer answer;
    const time_point started = boot_clock::now();
    const grpc::Status status = to.stub().Leader(&context, {}, &answer);
    const auto elapsed = std::chrono::duration_cast<milliseconds>(boot_clock::now() - started);
    UNSCOPED_INFO("call took " << elapsed.count() << " ms: code " << status.error_code() << ", "
                               << status.error_message());
    return status.ok();
}

int open_files()
{
    const auto all = std::filesystem::directory_iterator("/proc/self/fd");
    return static_cast<int>(std::distance(begin(all), end(all)));
}

} // namespace

TEST_CASE("a process accepts connections again after it ran out of file descriptors")
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
    REQUIRE(responds(settings.internal, milliseconds(2000)));
    const int pending = ::socket(AF_INET, SOCK_STREAM, 0);
    {
        constexpr rlim_t spare = 8;
        const descriptor_exhaustion exhausted(static_cast<rlim_t>(open_files()) + spare);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(settings.internal.substr(10))));
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(pending, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
        std::this_thread::sleep_for(milliseconds(300)); // accept fails meanwhile
    }
    ::close(pending);
    REQUIRE(job_server::failed_accepts() > 0);
    // Covers two periods of the process's check for failed accepts and the shutdown of the old server.
    std::this_thread::sleep_for(milliseconds(1000));
    CHECK(responds(settings.internal, milliseconds(1000)));
    server.stop();
    std::filesystem::remove_all(folder);
}
