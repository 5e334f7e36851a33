#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace flamingo
{

/// One header field as it stands on the wire.
struct HeaderField {
    std::string name;
    std::string value;
};

/// Header fields in their order. Names compare without regard to case.
class HeaderFields
{
public:
    void add(std::string name, std::string value);

    /// The first value of this name; nullptr when there is none.
    const std::string *find(std::string_view name) const;

    /// The first value of this name, or an empty text.
    std::string value(std::string_view name) const;

    void remove(std::string_view name);

    const std::vector<HeaderField> &all() const;

private:
    std::vector<HeaderField> m_fields;
};

/// Whether two header names are the same.
bool isSameHeaderName(std::string_view a, std::string_view b);

/// Takes out the fields that concern one connection only (RFC 9110, 7.6.1), and those that frame the body.
void removeHopByHopFields(HeaderFields &fields);

/// A request's or a response's first line and header fields.
struct MessageHead {
    std::string method; ///< Of requests.
    std::string target; ///< Of requests: path and query as they were sent.
    int status = 0; ///< Of responses.
    HeaderFields fields;
    bool keepsConnection = true; ///< Whether the connection may carry another message after this one.
    bool isFramed = true; ///< False for a response whose body ends with its connection.
    bool isChunked = false;
    long long contentLength = -1; ///< Bytes; -1 when the head doesn't say.
};

/// The bytes of a request's head, with the length of its body when it has one.
std::string serializeRequest(const MessageHead &head, std::size_t bodyBytes);

/// The standard reason phrase of a status.
const char *reasonPhrase(int status);

} // namespace flamingo
