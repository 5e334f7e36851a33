#include "serving/markfence.h"

#include <algorithm>

namespace flamingo
{

void MarkFence::setRegistered(MemberListRevision revision)
{
    m_isRegistered = true;
    raise(revision);
}

void MarkFence::raise(MemberListRevision revision)
{
    m_lowest = std::max(m_lowest, revision);
}

bool MarkFence::admits(MemberListRevision revision) const
{
    return m_isRegistered && revision >= m_lowest;
}

} // namespace flamingo
