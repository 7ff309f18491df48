#pragma once

/// @file
/// @brief The data folder: identity, log and snapshots. Records are synced before they are acknowledged.
///
/// Layout: `lock`, `identity`, `log-<sequence>`, `snapshot-<index>`. Each file is a sequence of frames:
/// payload length, CRC-32C of the payload, CRC-32C of these two fields, payload (a protobuf message). A
/// new file is renamed to its name once it is synced, and the log is synced after each further frame, so only
/// the last frame can be torn by a crash.
/// `acknowledgement-limit` holds one frame that is overwritten in place; a torn one counts as none.

#include "plumspoke/replica/error.hpp"
#include "plumspoke/replica/node.hpp"
#include "plumspoke/time/boot_id.hpp"

#include <filesystem>
#include <google/protobuf/message_lite.h>
#include <string_view>
#include <sys/types.h>

namespace plumspoke::replica
{

/// @brief The system calls that write to the disk; tests substitute failing ones.
struct disk_operations
{
    ssize_t (*write)(int file, const void* bytes, std::size_t count);
    int (*sync)(int file);
};

/// @brief Returns the operating system's calls.
[[nodiscard]] disk_operations system_disk() noexcept;

/// @brief Owns a file descriptor and closes it on destruction.
class file_handle
{
  public:
    file_handle() noexcept = default;
    explicit file_handle(int descriptor) noexcept : descriptor_(descriptor)
    {
    }
    file_handle(const file_handle&) = delete;
    file_handle& operator=(const file_handle&) = delete;
    file_handle(file_handle&& other) noexcept;
    file_handle& operator=(file_handle&& other) noexcept;
    ~file_handle();

    [[nodiscard]] int get() const noexcept
    {
        return descriptor_;
    }
    [[nodiscard]] bool valid() const noexcept
    {
        return descriptor_ >= 0;
    }

  private:
    int descriptor_ = -1;
};

/// @brief One replica's data folder, protected by a file lock.
class storage
{
  public:
    /// @name construction
    /// @{

    /// @param boot_id the boot that times on the disk count from; if it is empty, none are kept
    explicit storage(std::filesystem::path folder,
                     disk_operations disk = system_disk(),
                     std::string boot_id = read_boot_id());

    /// @brief Writes the identity of a founding member and the initial membership.
    /// @return already_initialized if the folder has an identity
    [[nodiscard]] std::error_code initialize(const member_id& id, const membership& members);

    /// @brief Acquires the lock and reads identity, snapshot and log.
    /// @return folder_in_use, no_identity, log_damaged, snapshot_damaged, disk_read_failed, disk_write_failed
    /// @note A torn last frame was never acknowledged and is truncated. If valid frames follow a damaged one,
    ///       the folder is rejected and left unchanged.
    [[nodiscard]] std::error_code open(restored_state& restored);

    /// @brief Writes the identity into a folder that has none.
    [[nodiscard]] std::error_code write_identity(const member_id& id);
    /// @}

    /// @name modifiers
    /// @{

    /// @brief Writes and syncs the records of an output.
    /// @return disk_write_failed: the content of the disk is unknown, so the replica must stop;
    ///         disk_full: the disk is unchanged, and the call may be repeated
    [[nodiscard]] std::error_code persist(const node_output& output);

    /// @brief Writes a snapshot and starts a new log file that holds only the entries after it.
    /// @return as persist; after disk_full the old log file stays in use
    [[nodiscard]] std::error_code
    save_snapshot(const snapshot& state, const hard_state& hard, std::span<const log_entry> rest);
    /// @}

    /// @name access
    /// @{
    [[nodiscard]] const member_id& identity() const noexcept
    {
        return identity_;
    }
    [[nodiscard]] std::uint64_t sync_count() const noexcept
    {
        return sync_count_;
    }
    [[nodiscard]] std::uint64_t log_bytes() const noexcept
    {
        return log_bytes_;
    }
    /// @}

  private:
    [[nodiscard]] std::error_code acquire_lock();
    [[nodiscard]] std::error_code write_all(int file, std::string_view remaining);
    [[nodiscard]] std::error_code append_to_log(std::string_view frame);
    template <typename ContentWriter>
    [[nodiscard]] std::error_code write_new_file(const std::filesystem::path& path,
                                                 const ContentWriter& write_content);
    [[nodiscard]] std::error_code write_message(const std::filesystem::path& path,
                                                const google::protobuf::MessageLite& content);
    [[nodiscard]] std::error_code
    write_records(int file, const hard_state& hard, std::span<const log_entry> entries);
    [[nodiscard]] std::error_code sync(int file);
    [[nodiscard]] std::error_code sync_folder();
    [[nodiscard]] std::error_code load_snapshot(restored_state& restored);
    [[nodiscard]] std::error_code load_log(restored_state& restored);
    [[nodiscard]] std::error_code read_log(const std::filesystem::path& path, restored_state& restored);
    [[nodiscard]] std::error_code load_acknowledgement_limit(restored_state& restored);
    [[nodiscard]] std::error_code write_acknowledgement_limit(time_point limit);
    [[nodiscard]] std::error_code discard_acknowledgement_limit();
    [[nodiscard]] std::filesystem::path log_path(std::uint64_t sequence) const;

    std::filesystem::path folder_;
    disk_operations disk_;
    file_handle lock_;
    std::string boot_id_;
    file_handle log_;
    file_handle acknowledgement_; // not valid: no limit is kept
    member_id identity_;
    std::uint64_t log_sequence_ = 1;
    std::uint64_t sync_count_ = 0;
    std::uint64_t log_bytes_ = 0;
};

} // namespace plumspoke::replica
