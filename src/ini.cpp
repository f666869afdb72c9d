#include "medlarhub/ini.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstring>
#include <ini.h>

namespace medlarhub {

namespace {

constexpr std::size_t max_name = 63;
constexpr std::size_t max_line = 199; // inih's line buffer has 200 bytes

struct parse_state {
    std::string_view rest;
    int line = 0;
    int section_line = 0;
    std::map<std::string, ini_section>* sections;
    std::vector<std::pair<int, std::string>> errors;
};

char* read_line(char* buffer, int size, void* stream) {
    auto& state = *static_cast<parse_state*>(stream);
    if (state.rest.empty())
        return nullptr;
    ++state.line;
    const auto end = std::min(state.rest.find('\n'), state.rest.size());
    const auto line = state.rest.substr(0, end);
    if (line.starts_with('['))
        state.section_line = state.line;
    if (line.size() > max_line)
        state.errors.emplace_back(state.line, "a line of at most 199 bytes");
    if (line.find('\0') != std::string_view::npos)
        state.errors.emplace_back(state.line, "text without NUL bytes");
    const auto taken = std::min({line.size(), max_line, static_cast<std::size_t>(size) - 1});
    std::memcpy(buffer, line.data(), taken);
    buffer[taken] = '\0';
    state.rest.remove_prefix(std::min(end + 1, state.rest.size()));
    return buffer;
}

int add_entry(void* user, const char* section, const char* key, const char* value) {
    auto& state = *static_cast<parse_state*>(user);
    auto& entries = (*state.sections)[section];
    if (entries.line == 0)
        entries.line = state.section_line;
    const bool added = entries.entries.try_emplace(key, ini_entry{value, state.line, false}).second;
    if (!added)
        state.errors.emplace_back(state.line, std::string{key} + " only once in its section");
    return 1;
}

std::optional<std::pair<double, std::string_view>> parse_number_and_unit(std::string_view text) {
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || number < 0)
        return {};
    return std::pair{number, text.substr(static_cast<std::size_t>(end - text.data()))};
}

struct unit {
    std::string_view name;
    double factor;
};

std::optional<std::int64_t> parse_scaled(std::string_view text, const std::vector<unit>& units) {
    constexpr double max_exact = 9e15;
    const auto parsed = parse_number_and_unit(text);
    if (!parsed)
        return {};
    const auto found = std::ranges::find(units, parsed->second, &unit::name);
    if (found == units.end() || parsed->first * found->factor > max_exact)
        return {};
    return std::llround(parsed->first * found->factor);
}

std::string format_thousandths(std::int64_t value) {
    auto text = std::to_string(value / 1000);
    if (value % 1000 != 0)
        text += "." + std::to_string(1000 + value % 1000).substr(1);
    return text;
}

} // namespace

std::string ini_error::to_string() const {
    return file + ":" + std::to_string(line) + ": " + key + ": expected " + expected;
}

ini_reader::ini_reader(std::string file, std::string_view text) : m_file{std::move(file)} {
    parse_state state{text, 0, 1, &m_sections, {}};
    const int bad_line = ini_parse_stream(read_line, &state, add_entry, &state);
    for (const auto& [line, expected] : state.errors)
        m_errors.push_back({m_file, line, "(file)", expected});
    if (bad_line > 0)
        m_errors.push_back({m_file, bad_line, "(file)", "a [section], a key = value or a comment"});
}

bool ini_reader::has_section(std::string_view section) const {
    return m_sections.contains(std::string{section});
}

std::vector<std::string> ini_reader::sections() const {
    std::vector<std::string> names;
    for (const auto& [name, entries] : m_sections)
        names.push_back(name);
    return names;
}

std::vector<std::string> ini_reader::keys(std::string_view section) const {
    std::vector<std::string> names;
    const auto found = m_sections.find(std::string{section});
    if (found == m_sections.end())
        return names;
    for (const auto& [name, entry] : found->second.entries)
        names.push_back(name);
    return names;
}

ini_entry* ini_reader::find(std::string_view section, std::string_view key) {
    const auto found = m_sections.find(std::string{section});
    if (found == m_sections.end())
        return nullptr;
    const auto entry = found->second.entries.find(std::string{key});
    return entry == found->second.entries.end() ? nullptr : &entry->second;
}

void ini_reader::add_error(std::string_view section, std::string_view key, std::string expected) {
    int line = 1;
    const auto found = m_sections.find(std::string{section});
    if (found != m_sections.end())
        line = found->second.line;
    if (const auto* entry = find(section, key))
        line = entry->line;
    m_errors.push_back({m_file, line, std::string{section} + "." + std::string{key}, std::move(expected)});
}

std::optional<std::string> ini_reader::raw(std::string_view section, std::string_view key, bool required) {
    auto* entry = find(section, key);
    if (entry == nullptr) {
        if (required)
            add_error(section, key, "a value; the key is missing");
        return {};
    }
    entry->used = true;
    return entry->value;
}

std::string ini_reader::text(std::string_view section, std::string_view key,
                             std::optional<std::string> fallback) {
    const auto value = raw(section, key, !fallback);
    return value ? *value : fallback.value_or("");
}

std::string ini_reader::name(std::string_view section, std::string_view key,
                             std::optional<std::string> fallback) {
    const auto value = raw(section, key, !fallback);
    if (!value)
        return fallback.value_or("");
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    };
    if (value->empty() || value->size() > max_name || !std::ranges::all_of(*value, allowed))
        add_error(section, key, "1 to 63 letters, digits, '-', '_' or '.'");
    return *value;
}

std::string ini_reader::one_of(std::string_view section, std::string_view key,
                               const std::vector<std::string>& choices, std::optional<std::string> fallback) {
    const auto value = raw(section, key, !fallback);
    if (!value)
        return fallback.value_or("");
    if (std::ranges::find(choices, *value) != choices.end())
        return *value;
    std::string expected = "one of";
    for (const auto& choice : choices)
        expected += " " + choice;
    add_error(section, key, expected);
    return choices.front();
}

std::int64_t ini_reader::integer(std::string_view section, std::string_view key, std::int64_t low,
                                 std::int64_t high, std::optional<std::int64_t> fallback) {
    const auto value = raw(section, key, !fallback);
    if (!value)
        return fallback.value_or(low);
    std::int64_t number = 0;
    const auto* last = value->data() + value->size();
    const auto [end, error] = std::from_chars(value->data(), last, number);
    if (error == std::errc{} && end == last && number >= low && number <= high)
        return number;
    add_error(section, key, "an integer from " + std::to_string(low) + " to " + std::to_string(high));
    return low;
}

bool ini_reader::boolean(std::string_view section, std::string_view key, bool fallback) {
    return one_of(section, key, {"true", "false"}, fallback ? "true" : "false") == "true";
}

milliseconds ini_reader::duration(std::string_view section, std::string_view key, milliseconds low,
                                  milliseconds high, std::optional<milliseconds> fallback) {
    static const std::vector<unit> units{{"ms", 1}, {"s", 1e3}, {"m", 60e3}, {"h", 3600e3}};
    const auto value = raw(section, key, !fallback);
    if (!value)
        return fallback.value_or(low);
    const auto number = parse_scaled(*value, units);
    if (number && milliseconds{*number} >= low && milliseconds{*number} <= high)
        return milliseconds{*number};
    add_error(section, key,
              "a duration with its unit (ms, s, m, h) from " + std::to_string(low.count()) + "ms to " +
                  std::to_string(high.count()) + "ms");
    return low;
}

std::int64_t ini_reader::cpus(std::string_view section, std::string_view key, std::int64_t low,
                              std::int64_t high, std::optional<std::int64_t> fallback) {
    const auto value = raw(section, key, !fallback);
    if (!value)
        return fallback.value_or(low);
    const auto number = parse_scaled(*value, {{"", 1000}});
    if (number && *number >= low && *number <= high)
        return *number;
    add_error(section, key,
              "a number of CPUs from " + format_thousandths(low) + " to " + format_thousandths(high));
    return low;
}

std::int64_t ini_reader::megabytes(std::string_view section, std::string_view key, std::int64_t low,
                                   std::int64_t high, std::optional<std::int64_t> fallback) {
    const auto value = raw(section, key, !fallback);
    if (!value)
        return fallback.value_or(low);
    const auto number = parse_scaled(*value, {{"MB", 1}, {"GB", 1024}});
    if (number && *number >= low && *number <= high)
        return *number;
    add_error(section, key,
              "a size with its unit (MB, GB) from " + std::to_string(low) + "MB to " + std::to_string(high) +
                  "MB");
    return low;
}

std::vector<ini_error> ini_reader::finish() {
    for (const auto& [section, content] : m_sections) {
        for (const auto& [key, entry] : content.entries) {
            if (!entry.used)
                m_errors.push_back(
                    {m_file, entry.line, section + "." + key, "a known key; this one is unknown"});
        }
    }
    std::ranges::stable_sort(m_errors, {}, &ini_error::line);
    return m_errors;
}

} // namespace medlarhub
