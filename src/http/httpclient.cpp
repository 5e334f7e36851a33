#include "http/httpclient.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <future>
#include <mutex>
#include <thread>

namespace flamingo
{

namespace
{
constexpr int PollTimeoutMs = 50;

struct Transfer {
    HttpClient::RequestId id = 0;
    HttpRequest request;
    HttpClient::DoneHandler onDone;
    HttpClient::ChunkHandler onChunk;
    HttpResponse response;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    Instant lastArrival;
    std::string problem;
};

std::size_t onBody(char *data, std::size_t, std::size_t n, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    transfer->lastArrival = std::chrono::steady_clock::now();
    if (transfer->onChunk) {
        transfer->onChunk({data, n});
    } else {
        transfer->response.body.append(data, n);
    }
    return n;
}

std::size_t onHeader(char *data, std::size_t, std::size_t n, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    const std::string line(data, n);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const auto first = line.find_first_not_of(' ', colon + 1);
        const auto last = line.find_last_not_of("\r\n");
        transfer->response.headers[name] = first <= last && first != std::string::npos ? line.substr(first, last - first + 1) : "";
    }
    return n;
}

HttpFailure failureOf(CURLcode code, CURL *easy)
{
    const std::string detail = curl_easy_strerror(code);
    if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_URL_MALFORMAT) {
        return {HttpFailure::Kind::NotSent, detail};
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        curl_off_t connectedAfter = 0;
        curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connectedAfter);
        return {connectedAfter == 0 ? HttpFailure::Kind::NotSent : HttpFailure::Kind::TimedOut, detail};
    }
    return {HttpFailure::Kind::Broken, detail};
}
} // namespace

struct HttpClient::Private {
    CURLM *multi = nullptr;
    std::thread thread;
    std::atomic<bool> isStopping{false};
    std::atomic<RequestId> lastId{0};
    std::mutex mutex;
    std::vector<std::unique_ptr<Transfer>> submitted;
    std::vector<RequestId> cancelled;
    std::map<RequestId, std::unique_ptr<Transfer>> active;

    void run();
    void takeSubmitted();
    void takeCancelled();
    void begin(std::unique_ptr<Transfer> transfer);
    void collectDone();
    void checkSilence();
    void finish(RequestId id, HttpOutcome outcome);
};

HttpClient::HttpClient(const std::string &name, long maxConnectionsPerHost)
    : m_private(std::make_unique<Private>())
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)initialised;
    m_private->multi = curl_multi_init();
    curl_multi_setopt(m_private->multi, CURLMOPT_MAX_HOST_CONNECTIONS, maxConnectionsPerHost);
    curl_multi_setopt(m_private->multi, CURLMOPT_MAXCONNECTS, 512L);
    m_private->thread = std::thread([this] { m_private->run(); });
    pthread_setname_np(m_private->thread.native_handle(), name.substr(0, 15).c_str());
}

HttpClient::~HttpClient()
{
    m_private->isStopping = true;
    curl_multi_wakeup(m_private->multi);
    m_private->thread.join();
    curl_multi_cleanup(m_private->multi);
}

HttpClient::RequestId HttpClient::send(HttpRequest request, DoneHandler onDone, ChunkHandler onChunk)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->id = ++m_private->lastId;
    transfer->request = std::move(request);
    transfer->onDone = std::move(onDone);
    transfer->onChunk = std::move(onChunk);
    const RequestId id = transfer->id;
    {
        const std::lock_guard<std::mutex> lock(m_private->mutex);
        m_private->submitted.push_back(std::move(transfer));
    }
    curl_multi_wakeup(m_private->multi);
    return id;
}

void HttpClient::cancel(RequestId id)
{
    {
        const std::lock_guard<std::mutex> lock(m_private->mutex);
        m_private->cancelled.push_back(id);
    }
    curl_multi_wakeup(m_private->multi);
}

HttpOutcome HttpClient::sendAndWait(HttpRequest request)
{
    auto promise = std::make_shared<std::promise<HttpOutcome>>();
    auto future = promise->get_future();
    send(std::move(request), [promise](HttpOutcome outcome) { promise->set_value(std::move(outcome)); });
    return future.get();
}

void HttpClient::Private::run()
{
    while (!isStopping) {
        takeSubmitted();
        takeCancelled();
        int running = 0;
        curl_multi_perform(multi, &running);
        collectDone();
        checkSilence();
        curl_multi_poll(multi, nullptr, 0, PollTimeoutMs, nullptr);
    }
    takeSubmitted();
    while (!active.empty()) {
        finish(active.begin()->first, tl::make_unexpected(HttpFailure{HttpFailure::Kind::Cancelled, "the client is stopping"}));
    }
}

void HttpClient::Private::takeSubmitted()
{
    std::vector<std::unique_ptr<Transfer>> batch;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        batch.swap(submitted);
    }
    for (auto &transfer : batch) {
        begin(std::move(transfer));
    }
}

void HttpClient::Private::takeCancelled()
{
    std::vector<RequestId> batch;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        batch.swap(cancelled);
    }
    for (const RequestId id : batch) {
        finish(id, tl::make_unexpected(HttpFailure{HttpFailure::Kind::Cancelled, "cancelled"}));
    }
}

void HttpClient::Private::begin(std::unique_ptr<Transfer> transfer)
{
    CURL *easy = curl_easy_init();
    const HttpRequest &request = transfer->request;
    transfer->easy = easy;
    transfer->lastArrival = std::chrono::steady_clock::now();
    for (const std::string &header : request.headers) {
        transfer->headers = curl_slist_append(transfer->headers, header.c_str());
    }
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(request.connectTimeout.count()));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.totalTimeout.count()));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.get());
    if (request.method != "GET") {
        // On a kept connection that breaks before the answer libcurl sends again by itself, and what changes
        // something may run twice.
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    if (request.method == "POST" || request.method == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    }
    curl_multi_add_handle(multi, easy);
    active.emplace(transfer->id, std::move(transfer));
}

void HttpClient::Private::collectDone()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        Transfer *transfer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        const CURLcode code = message->data.result;
        if (code != CURLE_OK) {
            finish(transfer->id, tl::make_unexpected(failureOf(code, message->easy_handle)));
            continue;
        }
        long status = 0;
        curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &status);
        transfer->response.status = static_cast<int>(status);
        HttpResponse response = std::move(transfer->response);
        finish(transfer->id, std::move(response));
    }
}

void HttpClient::Private::checkSilence()
{
    const Instant now = std::chrono::steady_clock::now();
    std::vector<RequestId> silent;
    for (const auto &[id, transfer] : active) {
        const Milliseconds limit = transfer->request.silenceTimeout;
        if (limit > Milliseconds(0) && now - transfer->lastArrival > limit) {
            silent.push_back(id);
        }
    }
    for (const RequestId id : silent) {
        finish(id, tl::make_unexpected(HttpFailure{HttpFailure::Kind::TimedOut, "nothing has arrived for too long"}));
    }
}

void HttpClient::Private::finish(RequestId id, HttpOutcome outcome)
{
    const auto it = active.find(id);
    if (it == active.end()) {
        return;
    }
    const std::unique_ptr<Transfer> transfer = std::move(it->second);
    active.erase(it);
    curl_multi_remove_handle(multi, transfer->easy);
    curl_easy_cleanup(transfer->easy);
    curl_slist_free_all(transfer->headers);
    transfer->onDone(std::move(outcome));
}

} // namespace flamingo
