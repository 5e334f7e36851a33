#include "persistence/journalstore.h"

#include "platform/recordcodec.h"

#include <utility>

namespace flamingo
{

namespace
{
constexpr Milliseconds WatchTimeout{10000};

using Changes = tl::expected<platform::StoreChanges, platform::StoreFailure>;

WatchResult resultOf(Changes changes)
{
    WatchResult result;
    if (!changes) {
        return result;
    }
    result.isOk = true;
    result.revision = changes->revision;
    for (platform::StoreItem &item : changes->items) {
        if (item.revision != 0) {
            result.values.push_back({std::move(item.key), std::move(item.data)});
        }
    }
    return result;
}

EndpointChanges endpointChangesOf(const Changes &changes)
{
    EndpointChanges result;
    if (!changes) {
        return result;
    }
    result.isOk = true;
    result.revision = changes->revision;
    for (const platform::StoreItem &item : changes->items) {
        auto endpoint = item.revision != 0 ? platform::decodeEndpoint(item.key, item.data) : std::nullopt;
        if (endpoint) {
            result.updated.push_back(std::move(*endpoint));
        } else {
            result.removed.emplace_back(item.key.substr(std::string_view(platform::EndpointPrefix).size()));
        }
    }
    return result;
}

StoreReply replyTo(const StoreOperation &operation, StoreReply::Status status, StoreVersion version = 0, std::string value = {})
{
    return {operation.id, status, version, std::move(value)};
}
} // namespace

JournalStore::JournalStore(SocketAddress address, Metrics &metrics)
    : m_store(m_thread.loop.context(), std::move(address), metrics)
{
}

JournalStore::~JournalStore()
{
    m_thread.stop();
}

void JournalStore::perform(StoreOperation operation, std::function<void(StoreReply)> onReply)
{
    asio::post(m_thread.loop.context(), [this, operation = std::move(operation), onReply = std::move(onReply)]() mutable {
        if (operation.kind == StoreOperation::Kind::Read) {
            read(operation, std::move(onReply));
        } else {
            change(operation, std::move(onReply));
        }
    });
}

void JournalStore::read(const StoreOperation &operation, std::function<void(StoreReply)> onReply)
{
    m_store.read(operation.key, [operation, onReply = std::move(onReply)](tl::expected<platform::StoreItem, platform::StoreFailure> item) {
        if (!item) {
            onReply(replyTo(operation, StoreReply::Status::Unknown));
        } else if (item->revision == 0) {
            onReply(replyTo(operation, StoreReply::Status::Absent));
        } else {
            onReply(replyTo(operation, StoreReply::Status::Done, item->revision, std::move(item->data)));
        }
    });
}

void JournalStore::change(const StoreOperation &operation, std::function<void(StoreReply)> onReply)
{
    platform::StoreTransaction transaction;
    if (operation.kind == StoreOperation::Kind::Write) {
        transaction.preconditions.push_back({operation.key, operation.expectedVersion});
        transaction.writes.push_back({operation.key, operation.value});
    } else {
        transaction.removals.push_back(operation.key);
    }
    m_store.commit(transaction, [operation, onReply = std::move(onReply)](const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
        if (!result) {
            onReply(replyTo(operation, StoreReply::Status::Unknown));
        } else if (!result->isCommitted) {
            onReply(replyTo(operation, StoreReply::Status::Conflict));
        } else {
            onReply(replyTo(operation, StoreReply::Status::Done, result->revision));
        }
    });
}

void JournalStore::watch(const std::string &prefix, std::uint64_t afterRevision, std::function<void(WatchResult)> onResult)
{
    asio::post(m_thread.loop.context(), [this, prefix, afterRevision, onResult = std::move(onResult)]() mutable {
        if (afterRevision == 0) {
            listAll(prefix, std::move(onResult));
            return;
        }
        m_store.watch(prefix, afterRevision, WatchTimeout, [this, prefix, onResult = std::move(onResult)](Changes changes) mutable {
            if (!changes && changes.error().kind == platform::StoreFailure::Kind::Compacted) {
                listAll(prefix, std::move(onResult));
            } else {
                onResult(resultOf(std::move(changes)));
            }
        });
    });
}

// A listing has the revision of its first page, so that a watch from there sees what changes between two pages.
void JournalStore::listAll(const std::string &prefix, std::function<void(WatchResult)> onResult)
{
    auto result = std::make_shared<WatchResult>();
    const auto onPage = [result](const platform::StorePage &page) {
        result->revision = result->revision == 0 ? page.revision : result->revision;
        for (const platform::StoreItem &item : page.items) {
            result->values.push_back({item.key, item.data});
        }
    };
    m_store.listAll(prefix, onPage, [result, onResult = std::move(onResult)](bool isWhole) {
        result->isOk = isWhole;
        onResult(isWhole ? std::move(*result) : WatchResult());
    });
}

void JournalStore::watchEndpoints(std::uint64_t afterRevision, std::function<void(EndpointChanges)> onChanges)
{
    asio::post(m_thread.loop.context(), [this, afterRevision, onChanges = std::move(onChanges)]() mutable {
        if (afterRevision == 0) {
            listEndpoints(std::move(onChanges));
            return;
        }
        m_store.watch(platform::EndpointPrefix, afterRevision, WatchTimeout, [this, onChanges = std::move(onChanges)](const Changes &changes) mutable {
            if (!changes && changes.error().kind == platform::StoreFailure::Kind::Compacted) {
                listEndpoints(std::move(onChanges));
            } else {
                onChanges(endpointChangesOf(changes));
            }
        });
    });
}

void JournalStore::listEndpoints(std::function<void(EndpointChanges)> onChanges)
{
    listAll(platform::EndpointPrefix, [onChanges = std::move(onChanges)](const WatchResult &result) {
        EndpointChanges changes;
        changes.isOk = result.isOk;
        changes.isSnapshot = true;
        changes.revision = result.revision;
        for (const StoreValue &it : result.values) {
            if (auto endpoint = platform::decodeEndpoint(it.key, it.value)) {
                changes.updated.push_back(std::move(*endpoint));
            }
        }
        onChanges(std::move(changes));
    });
}

} // namespace flamingo
