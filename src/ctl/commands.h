#pragma once

#include "http/httpclient.h"

#include <functional>
#include <string>
#include <vector>

namespace flamingo
{

/// A command of flamingoctl against one control daemon.
class Commands
{
public:
    /// The address is an IP number with a port.
    Commands(std::string address, std::string token);

    /// Runs a command with its arguments. Prints the answer; returns the exit code.
    int run(const std::vector<std::string> &arguments);

    /// What the commands are, for --help.
    static std::string help();

private:
    int apply(const std::string &file);
    int drainEndpoint(const std::string &endpoint, const std::string &ticket);
    int sendAndPrint(const std::string &method, const std::string &path, const std::string &body = {});
    HttpOutcome sendRequest(const std::string &method, const std::string &path, const std::string &body = {});

    std::string m_address;
    std::string m_token;
    HttpClient m_client;
};

} // namespace flamingo
