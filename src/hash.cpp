#include "medlarhub/hash.h"

#include "medlarhub/reason.h"
#include "medlarhub/time.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

namespace medlarhub {

namespace {

constexpr std::size_t key_bytes = 32;
constexpr std::string_view key_prefix = "mh_";

std::string to_hex(const unsigned char* bytes, std::size_t size) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text += digits[bytes[i] >> 4U];
        text += digits[bytes[i] & 0xFU];
    }
    return text;
}

} // namespace

instant now() {
    using std::chrono::steady_clock;
    static const auto wall_start = std::chrono::system_clock::now();
    static const auto steady_start = steady_clock::now();
    return std::chrono::time_point_cast<milliseconds>(
        wall_start +
        std::chrono::duration_cast<std::chrono::system_clock::duration>(steady_clock::now() - steady_start));
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string digest(std::string_view text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), bytes.data(), &size, EVP_sha256(), nullptr);
    return to_hex(bytes.data(), size);
}

bool same_digest(std::string_view left, std::string_view right) {
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::optional<std::string> new_key() {
    std::array<unsigned char, key_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        return fail("the operating system's random generator failed");
    return std::string{key_prefix} + to_hex(bytes.data(), bytes.size());
}

std::uint64_t random_bits() {
    std::array<unsigned char, sizeof(std::uint64_t)> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    std::uint64_t value = 0;
    for (const auto byte : bytes)
        value = value << 8U | byte;
    return value;
}

std::string rendezvous(const std::vector<std::string>& nodes, std::string_view subject) {
    const std::string* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const auto& node : nodes) {
        const auto weight = stable_hash(subject, stable_hash(node));
        if (best != nullptr && (weight < best_weight || (weight == best_weight && node <= *best)))
            continue;
        best = &node;
        best_weight = weight;
    }
    return best == nullptr ? std::string{} : *best;
}

std::string base64_encode(std::string_view bytes) {
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> base64_decode(std::string_view text) {
    if (text.size() % 4 != 0)
        return fail("the length of base64 text is not a multiple of 4");
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const int size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (size < 0)
        return fail("invalid base64 text");
    auto length = static_cast<std::size_t>(size);
    for (auto at = text.size(); at > 0 && text[at - 1] == '=' && length > 0; --at)
        --length;
    bytes.resize(length);
    return bytes;
}

} // namespace medlarhub
