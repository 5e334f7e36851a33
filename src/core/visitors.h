#pragma once

#include <variant>

namespace flamingo
{

/// Combines lambdas, one per alternative of a std::variant, into a visitor.
template<typename... Ts>
struct Visitors : Ts... {
    using Ts::operator()...;
};

template<typename... Ts>
Visitors(Ts...) -> Visitors<Ts...>;

} // namespace flamingo
