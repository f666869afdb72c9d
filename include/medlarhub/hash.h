#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarhub {

/// Returns an XXH3 hash, which is the same on every node and in every release.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Returns the SHA-256 digest in lower-case hex. API keys are stored only in this form, and request bodies
/// are compared by it.
std::string digest(std::string_view text);

/// Compares two digests in constant time.
bool same_digest(std::string_view left, std::string_view right);

/// Returns a new API key: 256 random bits from the operating system, with a prefix that secret scanners
/// recognise.
std::optional<std::string> new_key();

/// Returns 64 random bits from the operating system.
std::uint64_t random_bits();

/// Returns the member of `nodes` with the highest rendezvous hash for `subject`; empty when `nodes` is empty.
std::string rendezvous(const std::vector<std::string>& nodes, std::string_view subject);

std::string base64_encode(std::string_view bytes);
std::optional<std::string> base64_decode(std::string_view text);

} // namespace medlarhub
