/* Fault injection: a library that a test preloads into a process, which makes system calls fail with the errors that Linux
 * documents for them.
 *
 * The environment variable FAULTS names a file with lines `name value`. The file is read again every few milliseconds, so
 * that a test can change it while the process runs. A value is the probability of the fault in thousandths, except for
 * `clock`, which is the offset of the wall clock in milliseconds (negative: behind). */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum kind { ACCEPT, ABORT, OPEN, SOCKET, CONNECT, LOCAL, PEER, INTERRUPT, SHORT, DISK, HOLD, CLOCK, KINDS };
static const char *const names[KINDS] = {"accept", "abort", "open", "socket", "connect", "local", "peer", "interrupt", "short", "disk", "hold", "clock"};
static atomic_long values[KINDS];
static atomic_long read_at = -1;
static atomic_uchar connected[4096];
static atomic_ulong random_state = 88172645463325252UL;

#define PLAN_READ_INTERVAL_MS 5
#define DELAY_MS 150
#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define FAILURES(...) (const int[]){__VA_ARGS__}, sizeof((int[]){__VA_ARGS__}) / sizeof(int)

static long now_ms(void) {
  struct timespec now;
  syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void read_plan(void) {
  long now = now_ms();
  const char *path = getenv("FAULTS");
  if (path == NULL || (read_at >= 0 && now < read_at + PLAN_READ_INTERVAL_MS)) return;
  read_at = now;
  int saved_errno = errno;
  char text[512];
  int file = syscall(SYS_openat, AT_FDCWD, path, O_RDONLY | O_CLOEXEC);
  long length = file < 0 ? -1 : syscall(SYS_read, file, text, sizeof(text) - 1);
  if (file >= 0) syscall(SYS_close, file);
  errno = saved_errno;
  if (length < 0) return;
  text[length] = 0;
  for (int kind = 0; kind < KINDS; kind++) {
    const char *line = strstr(text, names[kind]);
    values[kind] = line ? atol(line + strlen(names[kind])) : 0;
  }
}

static unsigned long next_random(void) {
  unsigned long x = random_state;
  x ^= x << 13, x ^= x >> 7, x ^= x << 17;
  random_state = x;
  return x >> 11;
}

static int should_fail(enum kind kind) {
  read_plan();
  return values[kind] > 0 && (long)(next_random() % 1000) < values[kind];
}

static int fails(enum kind kind, const int *errors, size_t count) {
  if (!should_fail(kind)) return 0;
  errno = errors[next_random() % count];
  return 1;
}

static int is_inet(int socket) {
  struct sockaddr_storage at;
  socklen_t length = sizeof(at);
  int saved_errno = errno, got = getsockname(socket, (struct sockaddr *)&at, &length);
  errno = saved_errno;
  return got == 0 && at.ss_family == AF_INET;
}

static int is_stream(int socket) {
  int kind = 0, saved_errno = errno;
  socklen_t length = sizeof(kind);
  getsockopt(socket, SOL_SOCKET, SO_TYPE, &kind, &length);
  errno = saved_errno;
  return kind == SOCK_STREAM && is_inet(socket);
}

static int is_file(int file) {
  struct stat about;
  return fstat(file, &about) == 0 && S_ISREG(about.st_mode);
}

/* Whether the path to a peer that this process connected to fails. Accepted connections are not affected. */
static int is_connection_lost(int socket) {
  int known = socket >= 0 && socket < (int)sizeof(connected) && connected[socket];
  return known && fails(PEER, FAILURES(ETIMEDOUT, EHOSTUNREACH, ECONNRESET));
}

static int is_interrupted(int socket) {
  return is_stream(socket) && fails(INTERRUPT, FAILURES(EINTR));
}

/* Gives the socket the smallest send buffer, so that the kernel accepts only a part of what is written. The receive buffer
 * stays as it is: with the smallest one its window may stay closed, and the peer's kernel then holds back the last bytes of
 * a request for seconds. */
static int with_small_send_buffer(int socket) {
  int least = 1, saved_errno = errno;
  if (socket >= 0 && should_fail(SHORT)) setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &least, sizeof(least));
  errno = saved_errno;
  return socket;
}

static void delay(int socket) {
  struct timespec span = {0, DELAY_MS * 1000000L};
  if (is_stream(socket) && should_fail(HOLD)) nanosleep(&span, NULL);
}

/* Only settings files (`.json`) fail to open. Shared libraries and the fault plan itself can always be opened. */
int open64(const char *path, int flags, ...) {
  va_list rest;
  va_start(rest, flags);
  mode_t mode = va_arg(rest, mode_t);
  va_end(rest);
  const char *ending = strrchr(path, '.');
  if (ending && strcmp(ending, ".json") == 0 && fails(OPEN, FAILURES(EMFILE, ENFILE, ENOMEM, EINTR, EIO))) return -1;
  return REAL(open64)(path, flags, mode);
}

int accept4(int socket, struct sockaddr *at, socklen_t *length, int flags) {
  if (fails(ABORT, FAILURES(ECONNABORTED, EINTR, EPROTO))) return -1;
  if (fails(ACCEPT, FAILURES(ECONNABORTED, ENFILE, ENOBUFS, EMFILE, EINTR, ENOMEM, EPROTO))) return -1;
  int accepted = REAL(accept4)(socket, at, length, flags);
  if (accepted >= 0 && accepted < (int)sizeof(connected)) connected[accepted] = 0;
  return with_small_send_buffer(accepted);
}

int socket(int domain, int type, int protocol) {
  if (fails(SOCKET, FAILURES(ENFILE, ENOBUFS, EMFILE, ENOMEM))) return -1;
  return with_small_send_buffer(REAL(socket)(domain, type, protocol));
}

int connect(int socket, const struct sockaddr *to, socklen_t length) {
  if (fails(CONNECT, FAILURES(EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, EINTR, ENOBUFS))) return -1;
  if (fails(LOCAL, FAILURES(EADDRNOTAVAIL, ENOBUFS, EAGAIN, EINTR))) return -1;
  if (socket >= 0 && socket < (int)sizeof(connected)) connected[socket] = is_inet(socket);
  return REAL(connect)(socket, to, length);
}

ssize_t recv(int socket, void *bytes, size_t length, int flags) {
  return is_interrupted(socket) || is_connection_lost(socket) ? -1 : REAL(recv)(socket, bytes, length, flags);
}

ssize_t send(int socket, const void *bytes, size_t length, int flags) {
  delay(socket);
  return is_interrupted(socket) || is_connection_lost(socket) ? -1 : REAL(send)(socket, bytes, length, flags);
}

ssize_t writev(int socket, const struct iovec *parts, int count) {
  delay(socket);
  return is_interrupted(socket) ? -1 : REAL(writev)(socket, parts, count);
}

ssize_t pwrite64(int file, const void *bytes, size_t length, off64_t at) {
  if (is_file(file) && fails(DISK, FAILURES(EIO, ENOSPC))) {
    int error = errno;
    /* A failed write may still have written a part of the data. */
    if (length > 1) REAL(pwrite64)(file, bytes, length / 2, at);
    errno = error;
    return -1;
  }
  return REAL(pwrite64)(file, bytes, length, at);
}

int fdatasync(int file) {
  return is_file(file) && fails(DISK, FAILURES(EIO, ENOSPC)) ? -1 : REAL(fdatasync)(file);
}

int fsync(int file) {
  return fails(DISK, FAILURES(EIO, ENOSPC)) ? -1 : REAL(fsync)(file);
}

int clock_gettime(clockid_t clock, struct timespec *at) {
  int done = syscall(SYS_clock_gettime, clock, at);
  if (done == 0 && clock == CLOCK_REALTIME) {
    read_plan();
    at->tv_sec += values[CLOCK] / 1000;
    at->tv_nsec += values[CLOCK] % 1000 * 1000000;
    if (at->tv_nsec < 0) at->tv_sec--, at->tv_nsec += 1000000000;
    if (at->tv_nsec >= 1000000000) at->tv_sec++, at->tv_nsec -= 1000000000;
  }
  return done;
}
