#pragma once

#include "medlarhub/platform.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace medlarhub::standin {

/// Injected faults of the platform's services.
enum class platform_mode {
    up,
    down,         ///< fails at once, without effect
    drop_response ///< takes effect, but reports an error
};

/// An in-memory table, for tests and for the stand-in process.
class memory_table final : public table {
public:
    write_result transact(const std::vector<table_write>& writes) override;
    std::optional<std::vector<table_row>> read(const std::string& key) override;
    std::optional<std::vector<table_row>> list(const std::string& prefix, const std::string& after,
                                               int limit) override;

    void set_mode(platform_mode mode);
    [[nodiscard]] std::size_t writes() const;
    [[nodiscard]] std::size_t reads() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, table_row> m_rows;
    std::int64_t m_version = 0;
    platform_mode m_mode = platform_mode::up;
    std::chrono::steady_clock::time_point m_started = std::chrono::steady_clock::now();
    std::size_t m_writes = 0;
    std::size_t m_reads = 0;
};

class memory_object_store final : public object_store {
public:
    bool put(const std::string& name, const std::string& bytes) override;
    std::optional<stored_object> get(const std::string& name) override;
    void set_mode(platform_mode mode);

private:
    std::mutex m_mutex;
    std::map<std::string, std::string> m_objects;
    platform_mode m_mode = platform_mode::up;
};

} // namespace medlarhub::standin
