#include "http/messageparser.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace flamingo;

namespace
{
using Event = MessageParser::Event;

/// What a parser makes of the bytes, given in pieces of this size, up to the end of the head.
Event headEvent(MessageParser::Kind kind, const std::string &bytes, std::size_t pieceBytes)
{
    MessageParser parser(kind);
    for (std::size_t at = 0; at < bytes.size(); at += pieceBytes) {
        std::string_view piece = std::string_view(bytes).substr(at, pieceBytes);
        while (!piece.empty()) {
            const Event event = parser.feed(piece);
            if (event != Event::NeedsMore) {
                return event;
            }
        }
    }
    return Event::NeedsMore;
}

void checkHeads(MessageParser::Kind kind, const std::vector<std::string> &heads, Event expected)
{
    for (const std::string &head : heads) {
        INFO(head);
        CHECK(headEvent(kind, head, head.size()) == expected);
        CHECK(headEvent(kind, head, 1) == expected);
    }
}

std::string withStatusLine(const std::string &line)
{
    return line + "\r\nContent-Length: 0\r\n\r\n";
}

std::string withField(const std::string &line)
{
    return "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 0\r\n\r\n";
}
} // namespace

// Guards against bytes that are no response and count as one, since http_parser lets them pass.
TEST_CASE("A head that is none is an error", "[http]")
{
    std::vector<std::string> heads;
    for (const std::string line :
         {"HTTP/1.1 000 X",  "HTTP/1.1 020 X",  "HTTP/1.1 20 X",   "HTTP/1.1 2 X",     "HTTP/1.1 099 X",   "HTTP/1.1 600 X", "HTTP/1.1 999 X",
          "HTTP/1.1 0200 X", "HTTP/1.1 2000 X", "HTTP/1.1 -200 X", "HTTP/1.1 2x0 X",   "HTTP/1.1  200 X",  "HTTP/1.1 200X",  "HTTP/9.9 200 OK",
          "HTTP/2.0 200 OK", "HTTP/1.2 200 OK", "HTTP/0.9 200 OK", "HTTP/11.1 200 OK", "HTTP/1.11 200 OK", "http/1.1 200 OK"}) {
        heads.push_back(withStatusLine(line));
    }
    for (const std::string line : {"X Pad: x",
                                   "X-Pad : x",
                                   " X-Pad: x",
                                   "\tX-Pad: x",
                                   "X\tPad: x",
                                   "X\x01Pad: x",
                                   "X\x7fPad: x",
                                   "X-P\xc3\xa4d: x",
                                   "X(Pad): x",
                                   ": x",
                                   "Content-Length : 5",
                                   "X-Pad: x\r\n folded",
                                   "Transfer-Encoding: gzip",
                                   "Transfer-Encoding: gzip, chunked",
                                   "X-Pad: a\x01z"}) {
        heads.push_back(withField(line));
    }
    checkHeads(MessageParser::Kind::Responses, heads, Event::Error);
}

TEST_CASE("A proper head of a response is taken, however its bytes arrive", "[http]")
{
    checkHeads(MessageParser::Kind::Responses,
               {withStatusLine("HTTP/1.1 200 OK"),
                withStatusLine("HTTP/1.0 200 OK"),
                withStatusLine("HTTP/1.1 100 Continue"),
                withStatusLine("HTTP/1.1 599 X"),
                withStatusLine("HTTP/1.1 404 Not Found"),
                withStatusLine("HTTP/1.1 200"),
                withStatusLine("\r\nHTTP/1.1 200 OK"),
                withStatusLine("HTTP/1.1 200 "),
                withField("X-Pad: a b\tc"),
                withField("x!#$%&'*+-.^_`|~9: x"),
                withField("X-Empty:"),
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked \r\n\r\n",
                "HTTP/1.1 200 OK\r\n\r\n"},
               Event::Head);
}

TEST_CASE("A head of a request that is none is an error", "[http]")
{
    const auto withLine = [](const std::string &line) { return "GET / HTTP/1.1\r\nHost: h\r\n" + line + "\r\n\r\n"; };
    checkHeads(
        MessageParser::Kind::Requests, {withLine("X Pad: x"), withLine("X-Pad : x"), withLine(" X-Pad: x"), "GET / HTTP/9.9\r\nHost: h\r\n\r\n"}, Event::Error);
    checkHeads(MessageParser::Kind::Requests, {withLine("X-Pad: x"), "\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.0\r\n\r\n"}, Event::Head);
}

// The check of one message mustn't see bytes of the one before.
TEST_CASE("A sound head after another message is taken, and one that is none isn't", "[http]")
{
    const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
    MessageParser parser(MessageParser::Kind::Responses);
    const std::string bytes = sound + "ok" + sound + "ok" + "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n";
    std::string_view rest = bytes;
    std::vector<Event> events;
    while (!rest.empty() && (events.empty() || events.back() != Event::Error)) {
        events.push_back(parser.feed(rest));
    }
    CHECK(events == std::vector<Event>{Event::Head, Event::Body, Event::Complete, Event::Head, Event::Body, Event::Complete, Event::Error});
}
