#include "core/crypto.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace flamingo
{

namespace
{
const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}
} // namespace

std::string sha256Hex(std::string_view text)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest, &size, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned int n = 0; n < size; ++n) {
        hex += fmt::format("{:02x}", digest[n]);
    }
    return hex;
}

std::string hmacSha256(std::string_view key, std::string_view text)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytesOf(text), text.size(), digest, &size);
    return {reinterpret_cast<const char *>(digest), size};
}

std::string randomBytes(std::size_t n)
{
    std::string bytes(n, '\0');
    RAND_bytes(reinterpret_cast<unsigned char *>(&bytes[0]), static_cast<int>(n));
    return bytes;
}

bool isEqualConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace flamingo
