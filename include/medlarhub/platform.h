#pragma once

#include "medlarhub/fleet.h"
#include "medlarhub/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarhub {

struct table_row {
    std::string key;
    std::string value; ///< any bytes
    std::int64_t version = 0;
};

/// The precondition of a write on the existing row.
enum class write_condition { none, absent, version };

struct table_write {
    std::string key;
    std::string value;
    write_condition condition = write_condition::none;
    std::int64_t version = 0;
    bool remove = false;
};

enum class write_outcome {
    committed,
    conflict,   ///< a precondition failed; nothing was written
    unavailable ///< no response or an error: the write may have taken effect
};

struct write_result {
    write_outcome outcome = write_outcome::unavailable;
    std::int64_t version = 0; ///< new version of the written rows, when committed
    /// The service's steady clock, in milliseconds, when it answered; nothing if it has none.
    std::optional<std::int64_t> clock_ms{};
};

/// The platform's transactional table service. Calls block for at most the adapter's timeout.
class table {
public:
    table() = default;
    table(const table&) = delete;
    table& operator=(const table&) = delete;
    virtual ~table() = default;

    /// Applies all writes atomically.
    [[nodiscard]] virtual write_result transact(const std::vector<table_write>& writes) = 0;
    /// Returns the row with that key, or no rows; empty, with the reason set, when the service didn't
    /// respond.
    [[nodiscard]] virtual std::optional<std::vector<table_row>> read(const std::string& key) = 0;
    /// Returns at most `limit` rows whose key begins with `prefix` and sorts after `after`, ordered by key.
    [[nodiscard]] virtual std::optional<std::vector<table_row>> list(const std::string& prefix,
                                                                     const std::string& after, int limit) = 0;
};

struct stored_object {
    bool found = false;
    std::string bytes;
};

/// The platform's object store.
class object_store {
public:
    object_store() = default;
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;
    virtual ~object_store() = default;

    /// False when the service didn't respond; the object may have been stored.
    [[nodiscard]] virtual bool put(const std::string& name, const std::string& bytes) = 0;
    [[nodiscard]] virtual std::optional<stored_object> get(const std::string& name) = 0;
};

/// The platform's list of live and leaving VMs, which may be out of date.
class vm_list {
public:
    vm_list() = default;
    vm_list(const vm_list&) = delete;
    vm_list& operator=(const vm_list&) = delete;
    virtual ~vm_list() = default;

    [[nodiscard]] virtual std::optional<std::vector<vm_info>> list() = 0;
};

} // namespace medlarhub
