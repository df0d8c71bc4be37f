/* Stub at the start of the one-file executable. It unpacks the program that is
   appended to it and replaces itself with that program.

   The executable consists of this stub, the entries and a trailer. An entry is
   a line "<f or l> <mode, octal> <size in bytes> <path>", followed by that many
   bytes: the contents of a file (f) or the target of a symbolic link (l). The
   trailer is TRAILER_BYTES long:
   "LBLATCH1 <offset of the first entry, 16 digits> <hash, 16 digits>\n".

   The program is unpacked into LABURNUMLATCH_UNPACK, or /tmp if that is unset,
   in a directory named after the hash of the entries, so that later starts
   reuse it. It is unpacked under a temporary name that is then renamed, so that
   concurrent starts never see an incomplete directory. The program is started
   by exec in the same process; there is no child process. */

#define _GNU_SOURCE
#include <errno.h>
#include <ftw.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define TRAILER_BYTES 43
#define PATH_BYTES 2048
#define CHUNK_BYTES 65536

static void fail(const char *what) {
    fprintf(stderr, "laburnumlatch: cannot unpack: %s: %s\n", what,
            strerror(errno));
    exit(4);
}

static void make_parents(char *path, size_t root_length) {
    for (char *at = path + root_length + 1; (at = strchr(at, '/')); at++) {
        *at = '\0';
        if (mkdir(path, 0700) != 0 && errno != EEXIST) fail(path);
        *at = '/';
    }
}

static void copy(FILE *from, FILE *to, long left, const char *path) {
    static char chunk[CHUNK_BYTES];
    while (left > 0) {
        size_t wanted = left < CHUNK_BYTES ? (size_t)left : CHUNK_BYTES;
        if (fread(chunk, 1, wanted, from) != wanted)
            fail("executable is truncated");
        if (fwrite(chunk, 1, wanted, to) != wanted) fail(path);
        left -= (long)wanted;
    }
}

static void unpack_entry(FILE *from, const char *root, char kind,
                         unsigned mode, long size, const char *name) {
    char path[2 * PATH_BYTES];
    char target[PATH_BYTES] = "";
    snprintf(path, sizeof path, "%s/%s", root, name);
    make_parents(path, strlen(root));
    if (kind == 'l') {
        if (size >= PATH_BYTES) fail("symbolic link target is too long");
        if (fread(target, 1, (size_t)size, from) != (size_t)size) fail(path);
        if (symlink(target, path) != 0) fail(path);
        return;
    }
    FILE *to = fopen(path, "wbx");
    if (!to) fail(path);
    copy(from, to, size, path);
    if (fchmod(fileno(to), mode) != 0) fail(path);
    if (fclose(to) != 0) fail(path);
}

static void unpack(FILE *from, long offset, long end, const char *root) {
    char kind, name[PATH_BYTES];
    unsigned mode;
    long size;
    if (fseek(from, offset, SEEK_SET) != 0)
        fail("cannot seek in the executable");
    while (ftell(from) < end) {
        if (fscanf(from, "%c %o %ld %2047[^\n]", &kind, &mode, &size,
                   name) != 4 || fgetc(from) != '\n')
            fail("invalid entry");
        unpack_entry(from, root, kind, mode, size, name);
    }
}

static int remove_one(const char *path, const struct stat *info, int flag,
                      struct FTW *walk) {
    (void)info, (void)flag, (void)walk;
    return remove(path);
}

/* Returns whether path is a directory that only this user can access. Another
   user could have created it first, with other contents. */
static int is_own(const char *path) {
    struct stat info;
    return lstat(path, &info) == 0 && S_ISDIR(info.st_mode) &&
           info.st_uid == geteuid() && (info.st_mode & 077) == 0;
}

int main(int argc, char **argv) {
    char magic[9] = "", hash[17] = "";
    char place[PATH_BYTES], fresh[PATH_BYTES + 8], program[PATH_BYTES + 16];
    long offset, end;
    const char *base = getenv("LABURNUMLATCH_UNPACK");
    FILE *self = fopen("/proc/self/exe", "rbe");
    (void)argc;
    if (!self || fseek(self, -TRAILER_BYTES, SEEK_END) != 0)
        fail("cannot open the executable");
    end = ftell(self);
    if (fscanf(self, "%8s %16ld %16s", magic, &offset, hash) != 3 ||
        strcmp(magic, "LBLATCH1") != 0)
        fail("trailer is missing or invalid");
    snprintf(place, sizeof place, "%s/laburnumlatch-%u-%s",
             base ? base : "/tmp", geteuid(), hash);
    if (!is_own(place)) {
        snprintf(fresh, sizeof fresh, "%s.XXXXXX", place);
        if (!mkdtemp(fresh)) fail(fresh);
        unpack(self, offset, end, fresh);
        /* Fails if a concurrent start was faster; its directory is used. */
        if (rename(fresh, place) != 0)
            nftw(fresh, remove_one, 16, FTW_DEPTH | FTW_PHYS);
        if (!is_own(place)) fail(place);
    }
    snprintf(program, sizeof program, "%s/laburnumlatch", place);
    execv(program, argv);
    fail(program);
}
