#include "core/allocator.h"

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace flamingo
{

void returnLargeBuffers()
{
#ifdef __GLIBC__
    constexpr int MinMappedBytes = 131072;
    constexpr int MaxFreeHeapBytes = 1048576;
    // Setting the thresholds also keeps the allocator from raising them.
    mallopt(M_MMAP_THRESHOLD, MinMappedBytes);
    mallopt(M_TRIM_THRESHOLD, MaxFreeHeapBytes);
#endif
}

} // namespace flamingo
