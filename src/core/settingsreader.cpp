#include "core/settingsreader.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <set>
#include <sstream>

namespace flamingo
{

namespace
{
constexpr long MaxPort = 65535;

bool isIpAddress(const std::string &host)
{
    unsigned char buf[sizeof(in6_addr)];
    return inet_pton(AF_INET, host.c_str(), buf) == 1 || inet_pton(AF_INET6, host.c_str(), buf) == 1;
}

tl::expected<Milliseconds, std::string> parseDuration(const std::string &text)
{
    std::size_t digits = 0;
    while (digits < text.size() && std::isdigit(static_cast<unsigned char>(text[digits])) != 0) {
        ++digits;
    }
    constexpr std::size_t MaxDigits = 12;
    if (digits == 0 || digits > MaxDigits) {
        return tl::make_unexpected(std::string("a duration such as \"250ms\", \"5s\" or \"10min\""));
    }
    const std::int64_t n = std::stoll(text.substr(0, digits));
    const std::string unit = text.substr(digits);
    if (unit == "ms") {
        return Milliseconds(n);
    }
    if (unit == "s") {
        return std::chrono::duration_cast<Milliseconds>(std::chrono::seconds(n));
    }
    if (unit == "min") {
        return std::chrono::duration_cast<Milliseconds>(std::chrono::minutes(n));
    }
    return tl::make_unexpected(fmt::format("a duration in ms, s or min, not \"{}\"", unit));
}
} // namespace

std::string SocketAddress::text() const
{
    return fmt::format("{}:{}", host, port);
}

tl::expected<SocketAddress, std::string> parseSocketAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    const std::string expected = "an IP address with a port such as \"127.0.0.1:8000\"";
    if (colon == std::string::npos || !isIpAddress(text.substr(0, colon))) {
        return tl::make_unexpected(expected);
    }
    const std::string port = text.substr(colon + 1);
    const bool isNumber = !port.empty() && port.size() <= 5 && std::all_of(port.begin(), port.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
    if (!isNumber || std::stol(port) == 0 || std::stol(port) > MaxPort) {
        return tl::make_unexpected(expected);
    }
    return SocketAddress{text.substr(0, colon), static_cast<std::uint16_t>(std::stol(port))};
}

struct SettingsReader::Private {
    std::string path;
    toml::table root;
    std::set<std::string> knownKeys;
    std::vector<std::string> problems;

    const toml::node *node(const std::string &key)
    {
        knownKeys.insert(key);
        return root.at_path(key).node();
    }

    void addProblem(const toml::node *at, const std::string &key, const std::string &expected)
    {
        const auto line = at ? at->source().begin.line : 0;
        problems.push_back(fmt::format("{}:{}: {}: expected {}", path, line, key, expected));
    }

    template<typename T>
    const T *value(const std::string &key, const std::string &expected, bool isRequired)
    {
        const toml::node *found = node(key);
        if (!found) {
            if (isRequired) {
                addProblem(nullptr, key, expected);
            }
            return nullptr;
        }
        const auto *typed = found->as<T>();
        if (!typed) {
            addProblem(found, key, expected);
            return nullptr;
        }
        return &typed->get();
    }

    void checkUnknownKeys(const toml::table &table, const std::string &prefix);
    void checkUnknownKeys(const toml::node &child, const std::string &key);
};

void SettingsReader::Private::checkUnknownKeys(const toml::table &table, const std::string &prefix)
{
    for (const auto &[name, child] : table) {
        checkUnknownKeys(child, prefix.empty() ? std::string(name.str()) : prefix + "." + std::string(name.str()));
    }
}

void SettingsReader::Private::checkUnknownKeys(const toml::node &child, const std::string &key)
{
    if (const auto *table = child.as_table()) {
        checkUnknownKeys(*table, key);
        return;
    }
    const auto *array = child.as_array();
    if (array && array->is_homogeneous(toml::node_type::table) && !array->empty()) {
        for (std::size_t n = 0; n < array->size(); ++n) {
            checkUnknownKeys(*array->get(n), fmt::format("{}[{}]", key, n));
        }
        return;
    }
    if (knownKeys.count(key) == 0) {
        addProblem(&child, key, "a known key");
    }
}

SettingsReader::SettingsReader(const std::string &path)
    : m_private(std::make_unique<Private>())
{
    m_private->path = path;
    try {
        m_private->root = toml::parse_file(path);
    } catch (const toml::parse_error &error) {
        const auto line = error.source().begin.line;
        m_private->problems.push_back(fmt::format("{}:{}: {}", path, line, std::string(error.description())));
    }
}

SettingsReader::~SettingsReader() = default;

std::string SettingsReader::string(const std::string &key)
{
    const auto *value = m_private->value<std::string>(key, "a string", true);
    return value ? *value : std::string();
}

std::string SettingsReader::string(const std::string &key, const std::string &fallback)
{
    const auto *value = m_private->value<std::string>(key, "a string", false);
    return value ? *value : fallback;
}

std::int64_t SettingsReader::integer(const std::string &key, std::int64_t fallback, std::int64_t min, std::int64_t max)
{
    const std::string expected = fmt::format("an integer from {} to {}", min, max);
    const auto *value = m_private->value<std::int64_t>(key, expected, false);
    if (!value) {
        return fallback;
    }
    if (*value < min || *value > max) {
        m_private->addProblem(m_private->node(key), key, expected);
        return fallback;
    }
    return *value;
}

bool SettingsReader::boolean(const std::string &key, bool fallback)
{
    const auto *value = m_private->value<bool>(key, "true or false", false);
    return value ? *value : fallback;
}

Milliseconds SettingsReader::duration(const std::string &key, Milliseconds fallback)
{
    const auto *value = m_private->value<std::string>(key, "a duration such as \"250ms\", \"5s\" or \"10min\"", false);
    if (!value) {
        return fallback;
    }
    const auto parsed = parseDuration(*value);
    if (!parsed) {
        m_private->addProblem(m_private->node(key), key, parsed.error());
        return fallback;
    }
    return *parsed;
}

SocketAddress SettingsReader::address(const std::string &key)
{
    const auto *value = m_private->value<std::string>(key, "an IP address with a port such as \"127.0.0.1:8000\"", true);
    if (!value) {
        return {};
    }
    const auto parsed = parseSocketAddress(*value);
    if (!parsed) {
        m_private->addProblem(m_private->node(key), key, parsed.error());
        return {};
    }
    return *parsed;
}

std::vector<std::string> SettingsReader::strings(const std::string &key)
{
    std::vector<std::string> texts;
    const toml::node *found = m_private->node(key);
    if (!found) {
        return texts;
    }
    const auto *array = found->as_array();
    if (!array || (!array->empty() && !array->is_homogeneous(toml::node_type::string))) {
        m_private->addProblem(found, key, "an array of strings");
        return texts;
    }
    for (const auto &item : *array) {
        texts.push_back(item.as_string()->get());
    }
    return texts;
}

std::vector<std::string> SettingsReader::tablePrefixes(const std::string &key)
{
    std::vector<std::string> prefixes;
    const toml::node *found = m_private->root.at_path(key).node();
    if (!found) {
        return prefixes;
    }
    const auto *array = found->as_array();
    if (!array) {
        m_private->addProblem(found, key, "an array of tables");
        return prefixes;
    }
    for (std::size_t n = 0; n < array->size(); ++n) {
        prefixes.push_back(fmt::format("{}[{}]", key, n));
    }
    return prefixes;
}

std::string SettingsReader::fileContent(const std::string &key)
{
    const std::string path = string(key);
    if (path.empty()) {
        return {};
    }
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    std::string result = content.str();
    result.erase(result.find_last_not_of(" \n\r\t") + 1);
    if (result.empty()) {
        m_private->addProblem(m_private->node(key), key, fmt::format("a readable file that isn't empty, not {}", path));
    }
    return result;
}

std::vector<std::string> SettingsReader::problems()
{
    m_private->checkUnknownKeys(m_private->root, {});
    return m_private->problems;
}

} // namespace flamingo
