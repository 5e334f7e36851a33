#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace flamingo
{

/// One header field, unchanged from the wire.
struct HeaderField {
    std::string name;
    std::string value;
};

/// Header fields in their original order. Names are case-insensitive.
class HeaderFields
{
public:
    void add(std::string name, std::string value);

    /// The value of the first field with the name; nullptr when there is none.
    const std::string *find(std::string_view name) const;

    /// The value of the first field with the name; empty when there is none.
    std::string value(std::string_view name) const;

    void remove(std::string_view name);

    const std::vector<HeaderField> &all() const;

private:
    std::vector<HeaderField> m_fields;
};

/// Whether two header names are equal, ignoring case.
bool isSameHeaderName(std::string_view a, std::string_view b);

/// Removes the hop-by-hop fields (RFC 9110, section 7.6.1) and the fields that frame the body.
void removeHopByHopFields(HeaderFields &fields);

/// The first line and the header fields of a request or response.
struct MessageHead {
    std::string method; ///< Of requests.
    std::string target; ///< Of requests: path and query, unchanged from the wire.
    int status = 0; ///< Of responses.
    HeaderFields fields;
    bool keepsConnection = true; ///< Whether the connection may carry another message after this one.
    bool isFramed = true; ///< False for a response whose body is ended by closing the connection.
    bool isChunked = false;
    long long contentLength = -1; ///< In bytes; -1 when the head has no Content-Length.
};

/// Serializes the head of a request. Adds Content-Length if the body is not empty or the method usually has a body.
std::string serializeRequest(const MessageHead &head, std::size_t bodyBytes);

/// The standard reason phrase of a status.
const char *reasonPhrase(int status);

} // namespace flamingo
