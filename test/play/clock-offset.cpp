// Preloaded into a process, shifts its time of day. The file that WAXWING_CLOCK_OFFSET names holds the offset in
// milliseconds as one 64-bit integer, and may change at any time. Other clocks are unchanged.
#include <cstdint>
#include <cstdlib>

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

namespace {

constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;
constexpr std::int64_t nanosecondsPerMillisecond = 1'000'000;

const volatile std::int64_t* mapOffset()
{
    const char* path = std::getenv("WAXWING_CLOCK_OFFSET");
    const int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0)
        return nullptr;
    void* memory = mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, file, 0);
    close(file);
    return memory == MAP_FAILED ? nullptr : static_cast<const volatile std::int64_t*>(memory);
}

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* time)
{
    static const auto* const offset = mapOffset();
    const auto result = syscall(SYS_clock_gettime, clock, time);
    if (result != 0 || clock != CLOCK_REALTIME || !offset)
        return static_cast<int>(result);
    const auto total = time->tv_sec * nanosecondsPerSecond + time->tv_nsec + *offset * nanosecondsPerMillisecond;
    time->tv_sec = total / nanosecondsPerSecond;
    time->tv_nsec = total % nanosecondsPerSecond;
    return 0;
}
