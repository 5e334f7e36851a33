#include "http/httpserver.h"

#include <restinio/all.hpp>

namespace flamingo
{

namespace
{
using Traits = restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t>;
using StreamResponse = restinio::response_builder_t<restinio::chunked_output_t>;

constexpr auto ResponseTimeout = std::chrono::hours(2);
constexpr auto IdleTimeout = std::chrono::minutes(5);

restinio::http_status_line_t statusLine(int status)
{
    return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)), status < 400 ? "OK" : "Error"};
}

class Exchange : public HttpExchange
{
public:
    explicit Exchange(restinio::request_handle_t request)
        : m_request(std::move(request))
    {
    }

    std::string method() const override
    {
        return m_request->header().method().c_str();
    }

    std::string path() const override
    {
        const auto path = m_request->header().path();
        return {path.data(), path.size()};
    }

    std::string query(const std::string &name) const override
    {
        const auto parameters = restinio::try_parse_query<restinio::parse_query_traits::relaxed>(m_request->header().query());
        if (!parameters) {
            return {};
        }
        const auto value = parameters->get_param(name);
        return value ? std::string(value->data(), value->size()) : std::string();
    }

    std::string header(const std::string &name) const override
    {
        const auto value = m_request->header().opt_value_of(name);
        return value ? std::string(value->data(), value->size()) : std::string();
    }

    const std::string &body() const override
    {
        return m_request->body();
    }

    void respond(int status, const std::string &contentType, std::string body, const std::vector<Header> &headers) override
    {
        auto response = m_request->create_response(statusLine(status));
        addHeaders(response, contentType, headers);
        response.set_body(std::move(body));
        response.done();
    }

    void startStream(int status, const std::string &contentType, const std::vector<Header> &headers) override
    {
        m_stream = std::make_unique<StreamResponse>(m_request->create_response<restinio::chunked_output_t>(statusLine(status)));
        addHeaders(*m_stream, contentType, headers);
        m_stream->flush();
    }

    void write(std::string chunk) override
    {
        m_stream->append_chunk(std::move(chunk));
        m_stream->flush();
    }

    void finishStream() override
    {
        m_stream->done();
        m_stream.reset();
    }

private:
    template<typename Response>
    static void addHeaders(Response &response, const std::string &contentType, const std::vector<Header> &headers)
    {
        response.append_header(restinio::http_field::content_type, contentType);
        for (const Header &header : headers) {
            response.append_header(header.first, header.second);
        }
    }

    restinio::request_handle_t m_request;
    std::unique_ptr<StreamResponse> m_stream;
};
} // namespace

struct HttpServer::Private {
    restinio::running_server_handle_t<Traits> server;
};

HttpServer::HttpServer(const Settings &settings, Handler handler)
    : m_private(std::make_unique<Private>())
{
    auto serverSettings = restinio::server_settings_t<Traits>();
    serverSettings.address(settings.address)
        .port(settings.port)
        .handle_request_timeout(ResponseTimeout)
        .write_http_response_timelimit(ResponseTimeout)
        .read_next_http_message_timelimit(IdleTimeout)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t().max_body_size(settings.maxBodyBytes))
        .request_handler([handler = std::move(handler)](const restinio::request_handle_t &request) {
            handler(std::make_shared<Exchange>(request));
            return restinio::request_accepted();
        });
    m_private->server = restinio::run_async<Traits>(restinio::own_io_context(), std::move(serverSettings), settings.threads);
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::stop()
{
    if (m_private->server) {
        m_private->server->stop();
        m_private->server->wait();
        m_private->server.reset();
    }
}

} // namespace flamingo
