#include "http/messageparser.h"

#include "http/headsyntax.h"

#include <http_parser.h>

#include <algorithm>

namespace flamingo
{

namespace
{
constexpr int ContinueParsing = 0;
/// http_parser skips the body of a message if on_headers_complete returns 1.
constexpr int NoBodyFollows = 1;
} // namespace

struct MessageParser::Private {
    explicit Private(Kind kind)
        : syntax(kind == Kind::Requests ? HeadSyntax::Kind::Request : HeadSyntax::Kind::Response)
    {
    }

    http_parser parser{};
    HeadSyntax syntax;
    MessageHead head;
    Event event = Event::NeedsMore;
    std::string_view body;
    std::string error;
    std::string fieldName;
    std::string fieldValue;
    std::size_t headBytes = 0;
    std::size_t fieldCount = 0;
    bool isInsideMessage = false;
    bool hasHead = false;
    bool hasInvalidName = false; ///< Of a field.
    bool isInFieldValue = false;

    void storeField()
    {
        if (isInFieldValue) {
            hasInvalidName = hasInvalidName || !isToken(fieldName);
            head.fields.add(std::move(fieldName), std::move(fieldValue));
            ++fieldCount;
        }
        fieldName.clear();
        fieldValue.clear();
        isInFieldValue = false;
    }

    void pauseWith(Event what)
    {
        event = what;
        http_parser_pause(&parser, 1);
    }

    /// What makes the head no head of a message; nullptr if nothing does.
    const char *headFault() const
    {
        if (const char *fault = syntax.fault()) {
            return fault;
        }
        if (hasInvalidName) {
            return "the name of a field is no token";
        }
        if (parser.http_major != 1) {
            return "another major version of HTTP";
        }
        const auto isUnknownCoding = [](const HeaderField &it) {
            const std::string coding = it.value.substr(0, it.value.find_last_not_of(" \t") + 1);
            return isSameHeaderName(it.name, "Transfer-Encoding") && !isSameHeaderName(coding, "chunked");
        };
        const std::vector<HeaderField> &fields = head.fields.all();
        // Its body would be passed on as it was coded.
        const bool hasUnknownCoding = parser.type == HTTP_RESPONSE && std::any_of(fields.begin(), fields.end(), isUnknownCoding);
        return hasUnknownCoding ? "an unknown transfer coding" : nullptr;
    }

    void takeHead()
    {
        storeField();
        hasHead = true;
        if (parser.type == HTTP_REQUEST) {
            head.method = http_method_str(static_cast<http_method>(parser.method));
        }
        head.status = parser.status_code;
        head.keepsConnection = http_should_keep_alive(&parser) != 0;
        head.isChunked = (parser.flags & F_CHUNKED) != 0;
        const bool hasLength = (parser.flags & F_CONTENTLENGTH) != 0;
        head.contentLength = hasLength ? static_cast<long long>(parser.content_length) : -1;
        head.isFramed = parser.type == HTTP_REQUEST || head.isChunked || hasLength;
    }
};

namespace
{
using Event = MessageParser::Event;

template<typename Private>
const http_parser_settings &callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings it{};
        http_parser_settings_init(&it);
        it.on_message_begin = [](http_parser *parser) {
            static_cast<Private *>(parser->data)->isInsideMessage = true;
            return ContinueParsing;
        };
        it.on_url = [](http_parser *parser, const char *at, std::size_t n) {
            static_cast<Private *>(parser->data)->head.target.append(at, n);
            return ContinueParsing;
        };
        it.on_header_field = [](http_parser *parser, const char *at, std::size_t n) {
            auto *self = static_cast<Private *>(parser->data);
            if (self->hasHead) {
                return ContinueParsing; // Trailer fields aren't used.
            }
            if (self->isInFieldValue) {
                self->storeField();
            }
            self->fieldName.append(at, n);
            return ContinueParsing;
        };
        it.on_header_value = [](http_parser *parser, const char *at, std::size_t n) {
            auto *self = static_cast<Private *>(parser->data);
            if (self->hasHead) {
                return ContinueParsing;
            }
            self->isInFieldValue = true;
            self->fieldValue.append(at, n);
            return ContinueParsing;
        };
        it.on_headers_complete = [](http_parser *parser) {
            auto *self = static_cast<Private *>(parser->data);
            if (self->hasHead) {
                return ContinueParsing;
            }
            self->takeHead();
            self->pauseWith(Event::Head);
            const bool hasNoBody = parser->type == HTTP_RESPONSE && (parser->status_code == 204 || parser->status_code == 304);
            return hasNoBody ? NoBodyFollows : ContinueParsing;
        };
        it.on_body = [](http_parser *parser, const char *at, std::size_t n) {
            auto *self = static_cast<Private *>(parser->data);
            self->body = {at, n};
            self->pauseWith(Event::Body);
            return ContinueParsing;
        };
        it.on_message_complete = [](http_parser *parser) {
            static_cast<Private *>(parser->data)->pauseWith(Event::Complete);
            return ContinueParsing;
        };
        return it;
    }();
    return settings;
}
} // namespace

MessageParser::MessageParser(Kind kind)
    : m_private(std::make_unique<Private>(kind))
{
    http_parser_init(&m_private->parser, kind == Kind::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
    m_private->parser.data = m_private.get();
}

MessageParser::~MessageParser() = default;

MessageParser::Event MessageParser::feed(std::string_view &bytes)
{
    Private &it = *m_private;
    if (!it.isInsideMessage) {
        it.head = {};
        it.hasHead = false;
        it.headBytes = 0;
        it.fieldCount = 0;
        it.hasInvalidName = false;
        it.isInFieldValue = false;
        it.storeField();
        it.syntax.reset();
    }
    const std::string_view fed = bytes;
    const bool hadHead = it.hasHead;
    it.event = Event::NeedsMore;
    if (HTTP_PARSER_ERRNO(&it.parser) == HPE_PAUSED) {
        http_parser_pause(&it.parser, 0);
    }
    const std::size_t consumed = http_parser_execute(&it.parser, &callbacks<Private>(), bytes.data(), bytes.size());
    bytes.remove_prefix(std::min(consumed, bytes.size()));
    it.headBytes += it.hasHead && it.event != Event::Head ? 0 : consumed;
    const http_errno code = HTTP_PARSER_ERRNO(&it.parser);
    if (code != HPE_OK && code != HPE_PAUSED) {
        it.error = http_errno_description(code);
        return Event::Error;
    }
    if (!hadHead) {
        it.syntax.feed(fed.substr(0, consumed));
    }
    if (it.event == Event::Head) {
        if (const char *fault = it.headFault()) {
            it.error = fault;
            return Event::Error;
        }
    }
    if (it.event == Event::Complete) {
        it.isInsideMessage = false;
    }
    return it.event;
}

MessageParser::Event MessageParser::finish()
{
    Private &it = *m_private;
    if (!it.isInsideMessage) {
        return Event::NeedsMore;
    }
    if (it.hasHead && !it.head.isFramed) {
        it.isInsideMessage = false;
        return Event::Complete;
    }
    it.error = "the connection ended inside a message";
    return Event::Error;
}

MessageHead &MessageParser::head()
{
    return m_private->head;
}

std::string_view MessageParser::body() const
{
    return m_private->body;
}

const std::string &MessageParser::error() const
{
    return m_private->error;
}

std::size_t MessageParser::headBytes() const
{
    return m_private->headBytes;
}

// Strings and vectors that grow may take up twice their contents.
std::size_t MessageParser::heldBytes() const
{
    return 2 * (m_private->headBytes + m_private->fieldCount * sizeof(HeaderField));
}

bool MessageParser::isInsideMessage() const
{
    return m_private->isInsideMessage;
}

} // namespace flamingo
