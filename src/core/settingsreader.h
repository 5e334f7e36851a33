#pragma once

#include "core/time.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace flamingo
{

/// An IP number and a port.
struct SocketAddress {
    std::string host;
    std::uint16_t port = 0;

    std::string text() const;
};

/// Reads a TOML settings file and checks it: a missing or wrong value, a bad unit, a bad address and a key that nobody
/// asked for are problems, each with file, line and what was expected. All problems are gathered.
class SettingsReader
{
public:
    /// Problems with opening and parsing the file are gathered too.
    explicit SettingsReader(const std::string &path);
    ~SettingsReader();
    SettingsReader(const SettingsReader &) = delete;
    SettingsReader &operator=(const SettingsReader &) = delete;

    /// Keys are written "table.key". A value without a fallback must be there.
    std::string string(const std::string &key);
    std::string string(const std::string &key, const std::string &fallback);
    std::int64_t integer(const std::string &key, std::int64_t fallback, std::int64_t min, std::int64_t max);
    bool boolean(const std::string &key, bool fallback);

    /// A text such as "250ms", "5s" or "10min".
    Milliseconds duration(const std::string &key, Milliseconds fallback);

    /// A text such as "127.0.0.1:8000"; names are not allowed.
    SocketAddress address(const std::string &key);
    std::vector<std::string> strings(const std::string &key);

    /// The tables of an array of tables, as readers' key prefixes: "peer[0]", "peer[1]".
    std::vector<std::string> tablePrefixes(const std::string &key);

    /// The content of a file that a setting names, without the white space at its end. For secrets.
    std::string fileContent(const std::string &key);

    /// To be called when all has been read: checks for unknown keys and gives the problems, one a line.
    std::vector<std::string> problems();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

/// Parses an IP number with a port.
tl::expected<SocketAddress, std::string> parseSocketAddress(const std::string &text);

} // namespace flamingo
