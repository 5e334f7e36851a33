#pragma once

namespace flamingo
{

/// Makes the allocator return the memory of freed large buffers to the system at once. By default it keeps buffers of several
/// megabytes in its heap after the first has been freed, where smaller blocks between them hold the memory back.
void returnLargeBuffers();

} // namespace flamingo
