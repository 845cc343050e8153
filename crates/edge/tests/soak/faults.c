/*
 * Fault injection for one process, loaded with LD_PRELOAD: some system calls fail, are interrupted (EINTR) or
 * transfer fewer bytes than requested. FAULT_SEED seeds the choice, FAULT_PER_MILLE is the number of calls in
 * 1000 that fail. If FAULT_STEP is set, the wall clock jumps; the monotonic clock is not changed.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

static _Atomic uint64_t rng_state;
static _Atomic int per_mille = -1;

/* The next 31 bits of the generator (a linear congruential one); the first call reads the environment. */
static uint32_t next_random(void) {
    if (atomic_load(&per_mille) < 0) {
        const char *seed = getenv("FAULT_SEED"), *rate = getenv("FAULT_PER_MILLE");
        atomic_store(&rng_state, (seed ? strtoull(seed, 0, 10) : 1) * 2654435761u + 1);
        atomic_store(&per_mille, rate ? atoi(rate) : 0);
    }
    uint64_t old = atomic_load(&rng_state), next;
    do next = old * 6364136223846793005u + 1442695040888963407u;
    while (!atomic_compare_exchange_weak(&rng_state, &old, next));
    return next >> 33;
}

/* Whether a fault is injected into this call. */
static int inject_fault(void) { return (int)(next_random() % 1000) < atomic_load(&per_mille); }

static int is_tcp(int fd) {
    int type = 0;
    socklen_t size = sizeof type;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}

#define NEXT_DEFINITION(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define RANDOM_OF(list) list[next_random() % (sizeof list / sizeof *list)]

int accept4(int fd, struct sockaddr *addr, socklen_t *size, int flags) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EINTR, EMFILE, ENOMEM};
    if (inject_fault()) { errno = RANDOM_OF(errors); return -1; }
    return NEXT_DEFINITION(accept4)(fd, addr, size, flags);
}

int accept(int fd, struct sockaddr *addr, socklen_t *size) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EINTR};
    if (inject_fault()) { errno = RANDOM_OF(errors); return -1; }
    return NEXT_DEFINITION(accept)(fd, addr, size);
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, ENOBUFS};
    if ((type & SOCK_STREAM) && inject_fault()) { errno = RANDOM_OF(errors); return -1; }
    return NEXT_DEFINITION(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *addr, socklen_t size) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT};
    if (is_tcp(fd) && inject_fault()) { errno = RANDOM_OF(errors); return -1; }
    return NEXT_DEFINITION(connect)(fd, addr, size);
}

/* The number of bytes to transfer: usually all of them. */
static size_t short_length(size_t n) { return n > 1 && inject_fault() ? 1 + next_random() % (n - 1) : n; }

ssize_t recv(int fd, void *buf, size_t n, int flags) {
    if (!(flags & MSG_PEEK) && is_tcp(fd)) {
        if (inject_fault()) { errno = EINTR; return -1; }
        n = short_length(n);
    }
    return NEXT_DEFINITION(recv)(fd, buf, n, flags);
}

ssize_t send(int fd, const void *buf, size_t n, int flags) {
    if (is_tcp(fd)) {
        if (inject_fault()) { errno = EINTR; return -1; }
        n = short_length(n);
    }
    return NEXT_DEFINITION(send)(fd, buf, n, flags);
}

int epoll_wait(int fd, void *events, int max_events, int timeout) {
    int (*real)(int, void *, int, int) = (int (*)(int, void *, int, int))dlsym(RTLD_NEXT, "epoll_wait");
    if (inject_fault()) { errno = EINTR; return -1; }
    return real(fd, events, max_events, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = NEXT_DEFINITION(clock_gettime)(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME && getenv("FAULT_STEP")) {
        /* Every 7 s the offset of the wall clock changes: by a few seconds or by an hour. */
        static const int steps[] = {0, 3600, -5, 7, -3600, 2};
        now->tv_sec += steps[(now->tv_sec / 7) % 6];
    }
    return result;
}
