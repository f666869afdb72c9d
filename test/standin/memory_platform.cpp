#include "standin/memory_platform.h"

#include "medlarhub/reason.h"

#include <algorithm>

namespace medlarhub::standin {

write_result memory_table::transact(const std::vector<table_write>& writes) {
    const std::lock_guard lock{m_mutex};
    ++m_writes;
    if (m_mode == platform_mode::down) {
        set_reason("the table is down");
        return {write_outcome::unavailable};
    }
    const auto part_of = [](const table_write& write) { return write.key.substr(0, write.key.find('/')); };
    if (std::ranges::any_of(writes,
                            [&](const auto& write) { return part_of(write) != part_of(writes[0]); })) {
        set_reason("the rows belong to more than one part");
        return {write_outcome::unavailable};
    }
    for (const auto& write : writes) {
        const auto found = m_rows.find(write.key);
        const bool present = found != m_rows.end();
        if (write.condition == write_condition::absent && present)
            return {write_outcome::conflict};
        if (write.condition == write_condition::version &&
            (!present || found->second.version != write.version))
            return {write_outcome::conflict};
    }
    ++m_version;
    for (const auto& write : writes) {
        if (write.remove)
            m_rows.erase(write.key);
        else
            m_rows[write.key] = {write.key, write.value, m_version};
    }
    if (m_mode == platform_mode::drop_response) {
        set_reason("the response was dropped");
        return {write_outcome::unavailable};
    }
    const auto passed = std::chrono::steady_clock::now() - m_started;
    return {write_outcome::committed, m_version,
            std::chrono::floor<std::chrono::milliseconds>(passed).count() + 1};
}

std::optional<std::vector<table_row>> memory_table::read(const std::string& key) {
    const std::lock_guard lock{m_mutex};
    ++m_reads;
    if (m_mode == platform_mode::down)
        return fail("the table is down");
    const auto found = m_rows.find(key);
    if (found == m_rows.end())
        return std::vector<table_row>{};
    return std::vector<table_row>{found->second};
}

std::optional<std::vector<table_row>> memory_table::list(const std::string& prefix, const std::string& after,
                                                         int limit) {
    const std::lock_guard lock{m_mutex};
    ++m_reads;
    if (m_mode == platform_mode::down)
        return fail("the table is down");
    std::vector<table_row> rows;
    for (auto it = m_rows.upper_bound(std::max(prefix, after)); it != m_rows.end(); ++it) {
        if (!it->first.starts_with(prefix) || rows.size() >= static_cast<std::size_t>(limit))
            break;
        rows.push_back(it->second);
    }
    return rows;
}

void memory_table::set_mode(platform_mode mode) {
    const std::lock_guard lock{m_mutex};
    m_mode = mode;
}

std::size_t memory_table::writes() const {
    const std::lock_guard lock{m_mutex};
    return m_writes;
}

std::size_t memory_table::reads() const {
    const std::lock_guard lock{m_mutex};
    return m_reads;
}

bool memory_object_store::put(const std::string& name, const std::string& bytes) {
    const std::lock_guard lock{m_mutex};
    if (m_mode == platform_mode::down) {
        set_reason("the object store is down");
        return false;
    }
    m_objects[name] = bytes;
    return m_mode != platform_mode::drop_response;
}

std::optional<stored_object> memory_object_store::get(const std::string& name) {
    const std::lock_guard lock{m_mutex};
    if (m_mode == platform_mode::down)
        return fail("the object store is down");
    const auto found = m_objects.find(name);
    if (found == m_objects.end())
        return stored_object{};
    return stored_object{true, found->second};
}

void memory_object_store::set_mode(platform_mode mode) {
    const std::lock_guard lock{m_mutex};
    m_mode = mode;
}

} // namespace medlarhub::standin
