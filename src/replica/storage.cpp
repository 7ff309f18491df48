#include "plumspoke/replica/storage.hpp"

#include "plumspoke/replica/codec.hpp"
#include "plumspoke/replica/frame.hpp"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace plumspoke::replica
{

namespace
{

constexpr std::string_view log_prefix = "log-";
constexpr std::string_view snapshot_prefix = "snapshot-";
constexpr std::string_view identity_name = "identity";
constexpr std::string_view acknowledgement_name = "acknowledgement-limit";
constexpr mode_t file_mode = 0640;
constexpr std::size_t max_record_bytes = 1U << 20U; // of a record in a new log file, or one larger entry
// An earlier version of the program, which acknowledges without extending the limit, may have run since.
constexpr auto max_acknowledgement_limit_age = seconds(60);
// Allows for a time of day that is adjusted. A limit is ahead of what it covers by more than this.
constexpr auto max_boot_time_difference = milliseconds(250);

/// @brief A file whose name ends in a number, such as `log-3`.
struct numbered_file
{
    std::uint64_t number = 0;
    std::filesystem::path path;
};

std::vector<numbered_file> list_numbered(const std::filesystem::path& folder, std::string_view prefix)
{
    std::vector<numbered_file> result;
    std::error_code ignored;
    for (const auto& entry : std::filesystem::directory_iterator(folder, ignored))
    {
        const std::string name = entry.path().filename().string();
        if (!name.starts_with(prefix))
        {
            continue;
        }
        numbered_file file;
        file.path = entry.path();
        const char* begin = name.data() + prefix.size();
        const char* end = name.data() + name.size();
        const auto parsed = std::from_chars(begin, end, file.number);
        if (parsed.ec == std::errc() && parsed.ptr == end)
        {
            result.push_back(file);
        }
    }
    std::sort(result.begin(),
              result.end(),
              [](const numbered_file& left, const numbered_file& right)
              {
                  return left.number < right.number;
              });
    return result;
}

std::optional<std::string> read_file(const std::filesystem::path& path)
{
    std::ifstream in(path, std::ios::binary | std::ios::ate);
    if (!in)
    {
        return std::nullopt;
    }
    std::string content(static_cast<std::size_t>(in.tellg()), '\0');
    in.seekg(0);
    in.read(content.data(), static_cast<std::streamsize>(content.size()));
    return in ? std::optional(std::move(content)) : std::nullopt;
}

std::string serialize_frame(const google::protobuf::MessageLite& value)
{
    std::string frame(frame_header_size, '\0');
    value.AppendToString(&frame);
    write_frame_header(frame);
    return frame;
}

/// @brief The first entries, at most `max_record_bytes` of data, but at least one entry if there is any.
std::span<const log_entry> first_record(std::span<const log_entry> entries) noexcept
{
    std::size_t count = 0;
    for (std::size_t bytes = 0; count < entries.size(); ++count)
    {
        bytes += entries[count].data.size();
        if (count > 0 && bytes > max_record_bytes)
        {
            break;
        }
    }
    return entries.first(count);
}

void remove_files_before(const std::vector<numbered_file>& files, std::uint64_t kept)
{
    for (const numbered_file& file : files)
    {
        if (file.number < kept)
        {
            std::error_code ignored;
            std::filesystem::remove(file.path, ignored);
        }
    }
}

wire::Persist make_persist_record(const hard_state& hard, std::span<const log_entry> entries)
{
    wire::Persist out;
    out.mutable_hard_state()->set_term(hard.term);
    out.mutable_hard_state()->set_voted_for(hard.voted_for);
    for (const log_entry& entry : entries)
    {
        *out.add_entries() = to_wire(entry);
    }
    return out;
}

/// @brief Applies one frame to the state read so far.
void replay(const wire::Persist& frame, restored_state& restored)
{
    if (frame.has_hard_state())
    {
        restored.hard.term = frame.hard_state().term();
        restored.hard.voted_for = frame.hard_state().voted_for();
    }
    if (frame.truncate_from() != 0)
    {
        std::erase_if(restored.entries,
                      [&frame](const log_entry& entry)
                      {
                          return entry.index >= frame.truncate_from();
                      });
    }
    for (const wire::LogEntry& entry : frame.entries())
    {
        if (entry.index() > restored.base.index)
        {
            restored.entries.push_back(from_wire(entry));
        }
    }
}

bool is_contiguous(const restored_state& restored)
{
    log_index expected = restored.base.index + 1;
    for (const log_entry& entry : restored.entries)
    {
        if (entry.index != expected)
        {
            return false;
        }
        ++expected;
    }
    return true;
}

std::int64_t boot_time_of_day_ms()
{
    const auto time_of_day =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    return time_of_day.count() - to_microseconds(boot_clock::now()) / 1000;
}

/// @brief Whether the stored limit counts by the clock of this boot, and still holds.
bool is_comparable(const wire::AcknowledgementLimit& stored, std::string_view boot_id)
{
    const std::int64_t difference_ms = std::abs(stored.booted_at_ms() - boot_time_of_day_ms());
    const time_point limit = from_microseconds(stored.limit_us());
    return !boot_id.empty() && stored.boot_id() == boot_id &&
           difference_ms <= max_boot_time_difference.count() &&
           limit + max_acknowledgement_limit_age > boot_clock::now();
}

} // namespace

disk_operations system_disk() noexcept
{
    return {&::write, &::fdatasync};
}

// ---- file_handle -------------------------------------------------------------------------------

file_handle::file_handle(file_handle&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1))
{
}

file_handle& file_handle::operator=(file_handle&& other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

file_handle::~file_handle()
{
    if (descriptor_ >= 0)
    {
        ::close(descriptor_);
    }
}

// ---- construction ------------------------------------------------------------------------------

storage::storage(std::filesystem::path folder, disk_operations disk, std::string boot_id)
    : folder_(std::move(folder)), disk_(disk), boot_id_(std::move(boot_id))
{
}

std::filesystem::path storage::log_path(std::uint64_t sequence) const
{
    return folder_ / (std::string(log_prefix) + std::to_string(sequence));
}

std::error_code storage::acquire_lock()
{
    if (lock_.valid())
    {
        return {};
    }
    std::error_code failed;
    std::filesystem::create_directories(folder_, failed);
    if (failed)
    {
        return errc::disk_write_failed;
    }
    lock_ = file_handle(::open((folder_ / "lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode));
    if (!lock_.valid())
    {
        return errc::disk_write_failed;
    }
    if (::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0)
    {
        lock_ = file_handle();
        return errc::folder_in_use;
    }
    return {};
}

std::error_code storage::initialize(const member_id& id, const membership& members)
{
    if (const std::error_code failed = acquire_lock(); failed)
    {
        return failed;
    }
    if (std::filesystem::exists(folder_ / identity_name))
    {
        return errc::already_initialized;
    }
    snapshot first;
    first.members = members;
    const std::filesystem::path path = folder_ / (std::string(snapshot_prefix) + "0");
    if (const std::error_code failed = write_message(path, to_wire(first)); failed)
    {
        return failed;
    }
    return write_identity(id);
}

std::error_code storage::write_identity(const member_id& id)
{
    wire::Identity identity;
    identity.set_id(id);
    identity_ = id;
    return write_message(folder_ / identity_name, identity);
}

std::error_code storage::open(restored_state& restored)
{
    if (const std::error_code failed = acquire_lock(); failed)
    {
        return failed;
    }
    const std::optional<std::string> identity_file = read_file(folder_ / identity_name);
    if (identity_file.has_value())
    {
        const frame_scan scan = scan_frames(*identity_file);
        wire::Identity identity;
        if (scan.payloads.size() != 1 ||
            !identity.ParseFromArray(scan.payloads[0].data(), static_cast<int>(scan.payloads[0].size())))
        {
            return errc::log_damaged;
        }
        identity_ = identity.id();
    }
    else if (!list_numbered(folder_, log_prefix).empty())
    {
        return errc::log_damaged; // a log without an identity: the folder is incomplete
    }
    if (const std::error_code failed = load_snapshot(restored); failed)
    {
        return failed;
    }
    if (const std::error_code failed = load_log(restored); failed)
    {
        return failed;
    }
    if (const std::error_code failed = load_acknowledgement_limit(restored); failed)
    {
        return failed;
    }
    return identity_file.has_value() ? std::error_code() : make_error_code(errc::no_identity);
}

std::error_code storage::load_snapshot(restored_state& restored)
{
    const std::vector<numbered_file> files = list_numbered(folder_, snapshot_prefix);
    if (files.empty())
    {
        return {};
    }
    const std::optional<std::string> content = read_file(files.back().path);
    if (!content.has_value())
    {
        return errc::disk_read_failed;
    }
    const frame_scan scan = scan_frames(*content);
    wire::Snapshot stored;
    if (scan.payloads.size() != 1 || scan.end != tail_state::clean ||
        !stored.ParseFromArray(scan.payloads[0].data(), static_cast<int>(scan.payloads[0].size())))
    {
        return errc::snapshot_damaged;
    }
    restored.base = from_wire(stored);
    return {};
}

// Holds one record at a time in addition to the entries: a log may take a large part of the VM's memory.
std::error_code storage::read_log(const std::filesystem::path& path, restored_state& restored)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
    {
        return errc::disk_read_failed;
    }
    frame_reader frames(in);
    while (const std::optional<std::string_view> payload = frames.next())
    {
        wire::Persist record;
        if (!record.ParseFromArray(payload->data(), static_cast<int>(payload->size())))
        {
            return errc::log_damaged;
        }
        replay(record, restored);
    }
    if (frames.end() == tail_state::damaged || !is_contiguous(restored))
    {
        return errc::log_damaged;
    }
    if (frames.end() == tail_state::torn &&
        ::truncate(path.c_str(), static_cast<off_t>(frames.valid_size())) != 0)
    {
        return errc::disk_write_failed;
    }
    log_bytes_ = frames.valid_size();
    return {};
}

std::error_code storage::load_log(restored_state& restored)
{
    const std::vector<numbered_file> files = list_numbered(folder_, log_prefix);
    if (!files.empty())
    {
        log_sequence_ = files.back().number;
        if (const std::error_code failed = read_log(files.back().path, restored); failed)
        {
            return failed;
        }
    }
    log_ = file_handle(
        ::open(log_path(log_sequence_).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode));
    if (!log_.valid())
    {
        return errc::disk_write_failed;
    }
    if (const std::error_code failed = sync(log_.get()); failed)
    {
        return failed;
    }
    return sync_folder();
}

std::error_code storage::load_acknowledgement_limit(restored_state& restored)
{
    const std::filesystem::path path = folder_ / acknowledgement_name;
    const std::string content = read_file(path).value_or("");
    const frame_scan scan = scan_frames(content);
    wire::AcknowledgementLimit stored;
    const bool valid =
        !scan.payloads.empty() &&
        stored.ParseFromArray(scan.payloads[0].data(), static_cast<int>(scan.payloads[0].size()));
    if (valid && is_comparable(stored, boot_id_))
    {
        restored.acknowledgement_limit = from_microseconds(stored.limit_us());
    }
    if (!boot_id_.empty())
    {
        acknowledgement_ = file_handle(::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, file_mode));
    }
    return acknowledgement_.valid() ? sync_folder() : discard_acknowledgement_limit();
}

// ---- modifiers ---------------------------------------------------------------------------------

std::error_code storage::write_acknowledgement_limit(time_point limit)
{
    if (!acknowledgement_.valid())
    {
        return {};
    }
    wire::AcknowledgementLimit record;
    record.set_boot_id(boot_id_);
    record.set_limit_us(to_microseconds(limit));
    record.set_booted_at_ms(boot_time_of_day_ms());
    if (::lseek(acknowledgement_.get(), 0, SEEK_SET) < 0)
    {
        return errc::disk_write_failed;
    }
    const std::error_code failed = write_all(acknowledgement_.get(), make_frame(record.SerializeAsString()));
    if (failed == errc::disk_full)
    {
        return discard_acknowledgement_limit(); // the limit only shortens waits, so it isn't waited for
    }
    return failed ? failed : sync(acknowledgement_.get());
}

// A limit that isn't extended any more would be wrong after a restart.
std::error_code storage::discard_acknowledgement_limit()
{
    acknowledgement_ = file_handle();
    std::error_code failed;
    if (!std::filesystem::remove(folder_ / acknowledgement_name, failed) && !failed)
    {
        return {};
    }
    return failed ? make_error_code(errc::disk_write_failed) : sync_folder();
}

std::error_code storage::sync(int file)
{
    ++sync_count_;
    return disk_.sync(file) == 0 ? std::error_code() : make_error_code(errc::disk_write_failed);
}

std::error_code storage::sync_folder()
{
    const file_handle folder(::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!folder.valid() || ::fsync(folder.get()) != 0)
    {
        return errc::disk_write_failed;
    }
    return {};
}

std::error_code storage::write_all(int file, std::string_view remaining)
{
    while (!remaining.empty())
    {
        const ssize_t written = disk_.write(file, remaining.data(), remaining.size());
        if (written < 0 && errno == EINTR)
        {
            continue;
        }
        if (written < 0 && (errno == ENOSPC || errno == EDQUOT))
        {
            return errc::disk_full;
        }
        if (written <= 0)
        {
            return errc::disk_write_failed;
        }
        remaining.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
}

std::error_code storage::append_to_log(std::string_view frame)
{
    const off_t before = ::lseek(log_.get(), 0, SEEK_END);
    if (before < 0)
    {
        return errc::disk_write_failed;
    }
    const std::error_code failed = write_all(log_.get(), frame);
    if (failed == errc::disk_full && ::ftruncate(log_.get(), before) != 0)
    {
        return errc::disk_write_failed; // the next frame would follow a partial one, which counts as damage
    }
    if (failed)
    {
        return failed;
    }
    log_bytes_ += frame.size();
    return sync(log_.get());
}

template <typename ContentWriter>
std::error_code storage::write_new_file(const std::filesystem::path& path, const ContentWriter& write_content)
{
    const std::filesystem::path temporary = path.string() + ".tmp";
    std::error_code failed;
    {
        const file_handle file(
            ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode));
        const bool full = errno == ENOSPC || errno == EDQUOT;
        if (!file.valid())
        {
            return full ? errc::disk_full : errc::disk_write_failed;
        }
        failed = write_content(file.get());
        if (!failed)
        {
            failed = sync(file.get());
        }
    }
    if (failed)
    {
        std::error_code ignored; // removed only to free disk space
        std::filesystem::remove(temporary, ignored);
        return failed;
    }
    std::filesystem::rename(temporary, path, failed);
    if (failed)
    {
        return errc::disk_write_failed;
    }
    return sync_folder();
}

std::error_code storage::write_message(const std::filesystem::path& path,
                                       const google::protobuf::MessageLite& content)
{
    return write_new_file(path,
                          [this, &content](int file)
                          {
                              return write_all(file, serialize_frame(content));
                          });
}

// In records of limited size, each of which is copied twice before it is written.
std::error_code storage::write_records(int file, const hard_state& hard, std::span<const log_entry> entries)
{
    std::error_code failed;
    do
    {
        const std::span<const log_entry> record = first_record(entries);
        failed = write_all(file, serialize_frame(make_persist_record(hard, record)));
        entries = entries.subspan(record.size());
    } while (!failed && !entries.empty());
    return failed;
}

std::error_code storage::persist(const node_output& output)
{
    if (output.acknowledgement_limit.has_value())
    {
        const std::error_code failed = write_acknowledgement_limit(*output.acknowledgement_limit);
        if (failed || !output.must_sync_log())
        {
            return failed;
        }
    }
    if (output.installed.has_value())
    {
        const hard_state hard = output.hard.value_or(hard_state());
        return save_snapshot(*output.installed, hard, output.entries);
    }
    wire::Persist frame;
    if (output.hard.has_value())
    {
        frame.mutable_hard_state()->set_term(output.hard->term);
        frame.mutable_hard_state()->set_voted_for(output.hard->voted_for);
    }
    frame.set_truncate_from(output.truncate_from);
    for (const log_entry& entry : output.entries)
    {
        *frame.add_entries() = to_wire(entry);
    }
    return append_to_log(serialize_frame(frame));
}

std::error_code
storage::save_snapshot(const snapshot& state, const hard_state& hard, std::span<const log_entry> rest)
{
    const std::filesystem::path path = folder_ / (std::string(snapshot_prefix) + std::to_string(state.index));
    if (const std::error_code failed = write_message(path, to_wire(state)); failed)
    {
        return failed;
    }
    const std::uint64_t next_sequence = log_sequence_ + 1;
    const std::error_code failed = write_new_file(log_path(next_sequence),
                                                  [this, &hard, rest](int file)
                                                  {
                                                      return write_records(file, hard, rest);
                                                  });
    if (failed)
    {
        return failed;
    }
    log_ = file_handle(::open(log_path(next_sequence).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
    if (!log_.valid())
    {
        return errc::disk_write_failed;
    }
    log_sequence_ = next_sequence;
    log_bytes_ = static_cast<std::uint64_t>(std::max<off_t>(::lseek(log_.get(), 0, SEEK_END), 0));
    remove_files_before(list_numbered(folder_, log_prefix), next_sequence);
    remove_files_before(list_numbered(folder_, snapshot_prefix), state.index);
    return {};
}

} // namespace plumspoke::replica
