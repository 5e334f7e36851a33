#pragma once

#include "http/httpclient.h"

#include <functional>
#include <string>
#include <vector>

namespace flamingo
{

/// The commands of flamingoctl. They send HTTP requests to one control daemon.
class Commands
{
public:
    /// The address is an IP address with a port, the token the operators' token.
    Commands(std::string address, std::string token);

    /// Runs a command with its arguments and prints the response. Returns the exit code.
    int run(const std::vector<std::string> &arguments);

    /// Returns the description of the commands for --help.
    static std::string help();

private:
    int apply(const std::string &file);
    int drainEndpoint(const std::string &endpoint, const std::string &ticket);
    int sendAndPrint(const std::string &method, const std::string &path, const std::string &body = {});
    HttpResult sendRequest(const std::string &method, const std::string &path, const std::string &body = {});

    std::string m_address;
    std::string m_token;
    HttpClient m_client;
};

} // namespace flamingo
