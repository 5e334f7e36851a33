#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <functional>
#include <utility>

namespace flamingo
{

/// Gives a string or an integer a distinct type, so that ids and units can't be confused. In JSON it is the bare value.
template<typename Tag, typename Rep>
class StrongId
{
public:
    constexpr StrongId() = default;

    constexpr explicit StrongId(Rep value)
        : m_value(std::move(value))
    {
    }

    constexpr const Rep &value() const
    {
        return m_value;
    }

    friend bool operator==(const StrongId &a, const StrongId &b)
    {
        return a.m_value == b.m_value;
    }

    friend bool operator!=(const StrongId &a, const StrongId &b)
    {
        return !(a == b);
    }

    friend bool operator<(const StrongId &a, const StrongId &b)
    {
        return a.m_value < b.m_value;
    }

    friend bool operator>(const StrongId &a, const StrongId &b)
    {
        return b < a;
    }

    friend bool operator<=(const StrongId &a, const StrongId &b)
    {
        return !(b < a);
    }

    friend bool operator>=(const StrongId &a, const StrongId &b)
    {
        return !(a < b);
    }

    friend void to_json(nlohmann::json &json, const StrongId &id)
    {
        json = id.m_value;
    }

    friend void from_json(const nlohmann::json &json, StrongId &id)
    {
        id.m_value = json.get<Rep>();
    }

private:
    Rep m_value{};
};

} // namespace flamingo

template<typename Tag, typename Rep>
struct std::hash<flamingo::StrongId<Tag, Rep>> {
    std::size_t operator()(const flamingo::StrongId<Tag, Rep> &id) const
    {
        return std::hash<Rep>()(id.value());
    }
};
