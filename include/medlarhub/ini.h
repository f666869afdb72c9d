#pragma once

#include "medlarhub/time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarhub {

/// One validation error in a settings file or document, with its location.
struct ini_error {
    std::string file;
    int line = 0;
    std::string key;
    std::string expected;

    /// Returns `file:line: key: expected ...`, a format that editors can parse to jump to the location.
    [[nodiscard]] std::string to_string() const;
};

struct ini_entry {
    std::string value;
    int line = 0;
    bool used = false;
};

struct ini_section {
    int line = 0;
    std::map<std::string, ini_entry> entries;
};

/// Parses a whole INI text. Every getter marks its key as known; `finish` reports keys that no getter read.
/// Errors are collected, so that one run reports all of them.
class ini_reader {
public:
    /// `file` is used in errors only.
    ini_reader(std::string file, std::string_view text);

    [[nodiscard]] bool has_section(std::string_view section) const;
    [[nodiscard]] std::vector<std::string> sections() const;
    /// The keys of a section; empty when the section is missing.
    [[nodiscard]] std::vector<std::string> keys(std::string_view section) const;

    std::string text(std::string_view section, std::string_view key,
                     std::optional<std::string> fallback = {});
    /// A word made of letters, digits, `-`, `_` and `.`, at most 63 of them.
    std::string name(std::string_view section, std::string_view key,
                     std::optional<std::string> fallback = {});
    std::string one_of(std::string_view section, std::string_view key,
                       const std::vector<std::string>& choices, std::optional<std::string> fallback = {});
    std::int64_t integer(std::string_view section, std::string_view key, std::int64_t low, std::int64_t high,
                         std::optional<std::int64_t> fallback = {});
    bool boolean(std::string_view section, std::string_view key, bool fallback);
    /// A number with a unit: `ms`, `s`, `m` or `h`.
    milliseconds duration(std::string_view section, std::string_view key, milliseconds low, milliseconds high,
                          std::optional<milliseconds> fallback = {});
    /// Processors with up to three decimals, returned in thousandths.
    std::int64_t cpus(std::string_view section, std::string_view key, std::int64_t low, std::int64_t high,
                      std::optional<std::int64_t> fallback = {});
    /// A number with a unit, `MB` or `GB`, returned in MB.
    std::int64_t megabytes(std::string_view section, std::string_view key, std::int64_t low,
                           std::int64_t high, std::optional<std::int64_t> fallback = {});

    void add_error(std::string_view section, std::string_view key, std::string expected);
    /// Returns all errors sorted by line, unknown sections and keys included.
    std::vector<ini_error> finish();

private:
    ini_entry* find(std::string_view section, std::string_view key);
    std::optional<std::string> raw(std::string_view section, std::string_view key, bool required);

    std::string m_file;
    std::map<std::string, ini_section> m_sections;
    std::vector<ini_error> m_errors;
};

} // namespace medlarhub
