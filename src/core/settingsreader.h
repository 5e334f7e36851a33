#pragma once

#include "core/time.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace flamingo
{

/// An IP address and a port.
struct SocketAddress {
    std::string host;
    std::uint16_t port = 0;

    std::string text() const;
};

/// Reads and checks a TOML settings file. Missing or invalid values and keys that are never read are problems. All problems are
/// collected; each names the file, the line and what was expected.
class SettingsReader
{
public:
    /// If the file can't be opened or parsed, this is one of the problems.
    explicit SettingsReader(const std::string &path);
    ~SettingsReader();
    SettingsReader(const SettingsReader &) = delete;
    SettingsReader &operator=(const SettingsReader &) = delete;

    /// Keys have the form "table.key". A value without a fallback is required. After a problem, the fallback or an empty value is
    /// returned.
    std::string string(const std::string &key);
    std::string string(const std::string &key, const std::string &fallback);
    std::int64_t integer(const std::string &key, std::int64_t fallback, std::int64_t min, std::int64_t max);
    bool boolean(const std::string &key, bool fallback);

    /// Reads a string such as "250ms", "5s" or "10min".
    Milliseconds duration(const std::string &key, Milliseconds fallback);

    /// Reads a string such as "127.0.0.1:8000". Host names are not allowed.
    SocketAddress address(const std::string &key);

    /// Reads an optional array of strings.
    std::vector<std::string> strings(const std::string &key);

    /// Returns the key prefixes of the tables in an array of tables: "peer[0]", "peer[1]".
    std::vector<std::string> tablePrefixes(const std::string &key);

    /// Reads the file that a required setting names, such as a secret, without the white space at its end.
    std::string fileContent(const std::string &key);

    /// Returns the problems, one per string. Must be called after all settings have been read, since keys that were not read count
    /// as unknown.
    std::vector<std::string> problems();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

/// Parses an IP address with a port. The error says what was expected.
tl::expected<SocketAddress, std::string> parseSocketAddress(const std::string &text);

} // namespace flamingo
