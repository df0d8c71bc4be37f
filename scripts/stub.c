/* First part of the one-file program: unpacks the rest, then becomes it.

   The file is this program, then entries, then a trailer. An entry is a line
   "<f or l> <mode, octal> <bytes> <path>" and so many bytes, the contents of a
   file or the target of a link. The trailer is TRAILER_BYTES long:
   "LBLATCH1 <offset of the first entry, 16 digits> <hash, 16 digits>\n".

   It unpacks into the directory for temporary files under a name with the hash of the
   contents, so that later starts find it there. It unpacks elsewhere and
   renames, so that two starts at once never see half of it. exec keeps the
   process: no other one is started. */

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
        if (fread(chunk, 1, wanted, from) != wanted) fail("file is cut off");
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
        if (size >= PATH_BYTES) fail("link is too long");
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
    if (fseek(from, offset, SEEK_SET) != 0) fail("seek");
    while (ftell(from) < end) {
        if (fscanf(from, "%c %o %ld %2047[^\n]", &kind, &mode, &size,
                   name) != 4 || fgetc(from) != '\n')
            fail("bad entry");
        unpack_entry(from, root, kind, mode, size, name);
    }
}

static int remove_one(const char *path, const struct stat *info, int flag,
                      struct FTW *walk) {
    (void)info, (void)flag, (void)walk;
    return remove(path);
}

/* Another user could have made the directory first, with other contents. */
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
    if (!self || fseek(self, -TRAILER_BYTES, SEEK_END) != 0) fail("open");
    end = ftell(self);
    if (fscanf(self, "%8s %16ld %16s", magic, &offset, hash) != 3 ||
        strcmp(magic, "LBLATCH1") != 0)
        fail("no trailer");
    snprintf(place, sizeof place, "%s/laburnumlatch-%u-%s",
             base ? base : "/tmp", geteuid(), hash);
    if (!is_own(place)) {
        snprintf(fresh, sizeof fresh, "%s.XXXXXX", place);
        if (!mkdtemp(fresh)) fail(fresh);
        unpack(self, offset, end, fresh);
        /* Fails if another start was first; then that one is used. */
        if (rename(fresh, place) != 0)
            nftw(fresh, remove_one, 16, FTW_DEPTH | FTW_PHYS);
        if (!is_own(place)) fail(place);
    }
    snprintf(program, sizeof program, "%s/laburnumlatch", place);
    execv(program, argv);
    fail(program);
}
