/* A library for LD_PRELOAD: makes system calls of one process fail for a while, and steps its wall clock.
 *
 * What fails, how often and how many times more stands in a file that the process maps
 * (PETRELWAY_FAILING_CALLS); petrelway/fakes/failing_calls.py writes it while the process runs. Build:
 *     cc -O2 -shared -fPIC -o failing_calls.so failing_calls.c -ldl
 * For tests on loopback alone. Each wrapper draws first; where nothing is to fail it calls the C library.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define NS 1000000000LL

/* The order is that of CALLS in failing_calls.py. */
enum call { ACCEPT, SOCKET, CONNECT, RECV, SEND, SENDTO, RECVFROM, EPOLL_CTL, EPOLL_WAIT, OPEN, WRITE, FSYNC,
            PWRITE, PREAD, SETSOCKOPT, WRITE_PIPE, CALLS };

struct fault {
    int32_t error;             /* errno, 0: none */
    uint32_t per_mille;        /* of the calls that fail */
    int64_t left;              /* so many more at most */
    int64_t short_bytes;       /* reads and writes take this many bytes at most, 0: all */
    _Atomic uint64_t failed;   /* counted here */
    _Atomic uint64_t calls;
};

struct plan {
    int64_t wall_step_ns;
    struct fault faults[CALLS];
};

static struct plan *plan;
static _Atomic uint64_t state = 88172645463325252ULL;

__attribute__((constructor)) static void map_plan(void) {
    const char *path = getenv("PETRELWAY_FAILING_CALLS");
    const char *seed = getenv("PETRELWAY_FAILING_SEED");
    if (seed != NULL) state = strtoull(seed, NULL, 10) * 2654435761ULL + 88172645463325252ULL;
    if (path == NULL) return;
    int (*real)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    int fd = real(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    void *found = mmap(NULL, sizeof(struct plan), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (found != MAP_FAILED) plan = found;
}

static uint32_t draw(void) {
    uint64_t x = atomic_load(&state);
    x ^= x << 13; x ^= x >> 7; x ^= x << 17;
    atomic_store(&state, x);
    return (uint32_t)(x >> 20) % 1000;
}

/* Whether this call is to fail; errno is set then. */
static int fails(enum call which) {
    if (plan == NULL) return 0;
    struct fault *f = &plan->faults[which];
    atomic_fetch_add(&f->calls, 1);
    const int error = __atomic_load_n(&f->error, __ATOMIC_RELAXED);  /* the plan may end in between */
    if (error == 0 || f->left <= 0 || draw() >= f->per_mille) return 0;
    f->left--;
    atomic_fetch_add(&f->failed, 1);
    errno = error;
    return 1;
}

static size_t cut(enum call which, size_t wanted) {
    if (plan == NULL) return wanted;
    size_t most = (size_t)plan->faults[which].short_bytes;
    return most > 0 && wanted > most ? most : wanted;
}

#define REAL(result, name, ...) \
    static result (*real)(__VA_ARGS__); \
    if (real == NULL) real = dlsym(RTLD_NEXT, name)

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int);
    int accepted;
    if (plan != NULL && plan->faults[ACCEPT].error == ECONNABORTED) {
        /* the system takes the connection off its queue, and says that it was aborted */
        accepted = real(fd, address, size, flags);
        if (accepted >= 0 && fails(ACCEPT)) { close(accepted); return -1; }
        return accepted;
    }
    if (fails(ACCEPT)) return -1;
    return real(fd, address, size, flags);
}
int socket(int domain, int type, int protocol) {
    REAL(int, "socket", int, int, int);
    return fails(SOCKET) ? -1 : real(domain, type, protocol);
}
int connect(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(int, "connect", int, const struct sockaddr *, socklen_t);
    return fails(CONNECT) ? -1 : real(fd, address, size);
}
int setsockopt(int fd, int level, int name, const void *value, socklen_t size) {
    REAL(int, "setsockopt", int, int, int, const void *, socklen_t);
    return fails(SETSOCKOPT) ? -1 : real(fd, level, name, value, size);
}
ssize_t recv(int fd, void *buffer, size_t size, int flags) {
    REAL(ssize_t, "recv", int, void *, size_t, int);
    return fails(RECV) ? -1 : real(fd, buffer, cut(RECV, size), flags);
}
ssize_t send(int fd, const void *buffer, size_t size, int flags) {
    REAL(ssize_t, "send", int, const void *, size_t, int);
    return fails(SEND) ? -1 : real(fd, buffer, cut(SEND, size), flags);
}
ssize_t sendto(int fd, const void *buffer, size_t size, int flags, const struct sockaddr *to, socklen_t length) {
    REAL(ssize_t, "sendto", int, const void *, size_t, int, const struct sockaddr *, socklen_t);
    return fails(SENDTO) ? -1 : real(fd, buffer, size, flags, to, length);
}
ssize_t recvfrom(int fd, void *buffer, size_t size, int flags, struct sockaddr *from, socklen_t *length) {
    REAL(ssize_t, "recvfrom", int, void *, size_t, int, struct sockaddr *, socklen_t *);
    return fails(RECVFROM) ? -1 : real(fd, buffer, size, flags, from, length);
}
int epoll_ctl(int epfd, int op, int fd, struct epoll_event *event) {
    REAL(int, "epoll_ctl", int, int, int, struct epoll_event *);
    return op != EPOLL_CTL_DEL && fails(EPOLL_CTL) ? -1 : real(epfd, op, fd, event);
}
int epoll_wait(int epfd, struct epoll_event *events, int most, int timeout) {
    REAL(int, "epoll_wait", int, struct epoll_event *, int, int);
    return fails(EPOLL_WAIT) ? -1 : real(epfd, events, most, timeout);
}
#define OPEN_AS(name) \
    int name(const char *path, int flags, ...) { \
        REAL(int, #name, const char *, int, ...); \
        mode_t mode = 0; \
        if (flags & (O_CREAT | O_TMPFILE)) { \
            va_list rest; va_start(rest, flags); mode = va_arg(rest, mode_t); va_end(rest); \
        } \
        return fails(OPEN) ? -1 : real(path, flags, mode); \
    }
OPEN_AS(open)
OPEN_AS(open64)
/* A pipe of the process's own, as one that wakes it; not its standard streams. */
static int own_pipe(int fd) {
    struct stat found;
    return fd > STDERR_FILENO && fstat(fd, &found) == 0 && S_ISFIFO(found.st_mode);
}
ssize_t write(int fd, const void *buffer, size_t size) {
    REAL(ssize_t, "write", int, const void *, size_t);
    if (plan != NULL && plan->faults[WRITE_PIPE].error != 0 && own_pipe(fd) && fails(WRITE_PIPE)) return -1;
    return fails(WRITE) ? -1 : real(fd, buffer, cut(WRITE, size));
}
int fsync(int fd) {
    REAL(int, "fsync", int);
    return fails(FSYNC) ? -1 : real(fd);
}
int fdatasync(int fd) {
    REAL(int, "fdatasync", int);
    return fails(FSYNC) ? -1 : real(fd);
}
#define PWRITE_AS(name, offset) \
    ssize_t name(int fd, const void *buffer, size_t size, offset at) { \
        REAL(ssize_t, #name, int, const void *, size_t, offset); \
        return fails(PWRITE) ? -1 : real(fd, buffer, size, at); \
    }
PWRITE_AS(pwrite, off_t)
PWRITE_AS(pwrite64, off64_t)
#define PREAD_AS(name, offset) \
    ssize_t name(int fd, void *buffer, size_t size, offset at) { \
        REAL(ssize_t, #name, int, void *, size_t, offset); \
        return fails(PREAD) ? -1 : real(fd, buffer, size, at); \
    }
PREAD_AS(pread, off_t)
PREAD_AS(pread64, off64_t)

static int64_t step(void) { return plan == NULL ? 0 : plan->wall_step_ns; }

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(int, "clock_gettime", clockid_t, struct timespec *);
    int failed = real(clock, now);
    if (failed == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE || clock == CLOCK_TAI)) {
        int64_t at = (int64_t)now->tv_sec * NS + now->tv_nsec + step();
        now->tv_sec = at / NS;
        now->tv_nsec = at % NS;
    }
    return failed;
}
int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    struct timespec at;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &at);
    now->tv_sec = at.tv_sec;
    now->tv_usec = at.tv_nsec / 1000;
    return 0;
}
time_t time(time_t *to) {
    struct timespec at;
    clock_gettime(CLOCK_REALTIME, &at);
    if (to != NULL) *to = at.tv_sec;
    return at.tv_sec;
}
