#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace flamingo
{

/// Checks the raw bytes of a message's head for what http_parser lets pass, as the bytes arrive.
class HeadSyntax
{
public:
    enum class Kind { Request, Response };

    explicit HeadSyntax(Kind kind);

    /// Begins with another message.
    void reset();

    /// Takes the next bytes of the head. Those after the head must not be fed.
    void feed(std::string_view bytes);

    /// What is wrong with the head so far; nullptr if nothing is. The head of a response has to have arrived whole.
    const char *fault() const;

private:
    bool isStatusLineSound() const;

    Kind m_kind;
    std::string m_statusLine; ///< Its beginning, up to the byte after the status.
    char m_previous = 0;
    bool m_hasFoldedLine = false;
};

/// Whether a text is a token (RFC 9110, section 5.6.2), as names of fields are.
bool isToken(std::string_view text);

} // namespace flamingo
