/* System calls that fail as Linux documents, for a process that the tests start with this library preloaded.
 *
 * The file that FAULTS names holds lines `name value`; it is read again every few milliseconds, so that a test can
 * change it while the process runs. A value is a chance in a thousand, but for `clock`: milliseconds by which the wall
 * clock is ahead (behind, where negative). */
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
static atomic_ulong drawn = 88172645463325252UL;

#define READ_EVERY_MS 5
#define HOLD_MS 150
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
  if (path == NULL || (read_at >= 0 && now < read_at + READ_EVERY_MS)) return;
  read_at = now;
  int kept = errno;
  char text[512];
  int file = syscall(SYS_openat, AT_FDCWD, path, O_RDONLY | O_CLOEXEC);
  long length = file < 0 ? -1 : syscall(SYS_read, file, text, sizeof(text) - 1);
  if (file >= 0) syscall(SYS_close, file);
  errno = kept;
  if (length < 0) return;
  text[length] = 0;
  for (int kind = 0; kind < KINDS; kind++) {
    const char *line = strstr(text, names[kind]);
    values[kind] = line ? atol(line + strlen(names[kind])) : 0;
  }
}

static unsigned long draw(void) {
  unsigned long x = drawn;
  x ^= x << 13, x ^= x >> 7, x ^= x << 17;
  drawn = x;
  return x >> 11;
}

static int strikes(enum kind kind) {
  read_plan();
  return values[kind] > 0 && (long)(draw() % 1000) < values[kind];
}

static int fails(enum kind kind, const int *errors, size_t count) {
  if (!strikes(kind)) return 0;
  errno = errors[draw() % count];
  return 1;
}

static int is_inet(int socket) {
  struct sockaddr_storage at;
  socklen_t length = sizeof(at);
  int kept = errno, got = getsockname(socket, (struct sockaddr *)&at, &length);
  errno = kept;
  return got == 0 && at.ss_family == AF_INET;
}

static int is_stream(int socket) {
  int kind = 0, kept = errno;
  socklen_t length = sizeof(kind);
  getsockopt(socket, SOL_SOCKET, SO_TYPE, &kind, &length);
  errno = kept;
  return kind == SOCK_STREAM && is_inet(socket);
}

static int is_file(int file) {
  struct stat about;
  return fstat(file, &about) == 0 && S_ISREG(about.st_mode);
}

/* The way to whoever this process connected to is lost. */
static int is_cut_off(int socket) {
  int known = socket >= 0 && socket < (int)sizeof(connected) && connected[socket];
  return known && fails(PEER, FAILURES(ETIMEDOUT, EHOSTUNREACH, ECONNRESET));
}

static int is_interrupted(int socket) {
  return is_stream(socket) && fails(INTERRUPT, FAILURES(EINTR));
}

/* The system takes a part of what is written where it has no room for more: a socket with the least send buffer. With the
 * least receive buffer its window may stay shut, and the other side's system keeps a request's last bytes for seconds. */
static int with_little_room(int socket) {
  int least = 1, kept = errno;
  if (socket >= 0 && strikes(SHORT)) setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &least, sizeof(least));
  errno = kept;
  return socket;
}

static void hold_up(int socket) {
  struct timespec span = {0, HOLD_MS * 1000000L};
  if (is_stream(socket) && strikes(HOLD)) nanosleep(&span, NULL);
}

/* Files of settings alone: what the process is linked with and the plan itself are always there. */
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
  return with_little_room(accepted);
}

int socket(int domain, int type, int protocol) {
  if (fails(SOCKET, FAILURES(ENFILE, ENOBUFS, EMFILE, ENOMEM))) return -1;
  return with_little_room(REAL(socket)(domain, type, protocol));
}

int connect(int socket, const struct sockaddr *to, socklen_t length) {
  if (fails(CONNECT, FAILURES(EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, EINTR, ENOBUFS))) return -1;
  if (fails(LOCAL, FAILURES(EADDRNOTAVAIL, ENOBUFS, EAGAIN, EINTR))) return -1;
  if (socket >= 0 && socket < (int)sizeof(connected)) connected[socket] = is_inet(socket);
  return REAL(connect)(socket, to, length);
}

ssize_t recv(int socket, void *bytes, size_t length, int flags) {
  return is_interrupted(socket) || is_cut_off(socket) ? -1 : REAL(recv)(socket, bytes, length, flags);
}

ssize_t send(int socket, const void *bytes, size_t length, int flags) {
  hold_up(socket);
  return is_interrupted(socket) || is_cut_off(socket) ? -1 : REAL(send)(socket, bytes, length, flags);
}

ssize_t writev(int socket, const struct iovec *parts, int count) {
  hold_up(socket);
  return is_interrupted(socket) ? -1 : REAL(writev)(socket, parts, count);
}

ssize_t pwrite64(int file, const void *bytes, size_t length, off64_t at) {
  if (is_file(file) && fails(DISK, FAILURES(EIO, ENOSPC))) {
    int error = errno;
    /* Half of it may be there all the same. */
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
