"""Entry point for `python -m laburnumlatch`."""

import sys

from laburnumlatch import cmdline

if __name__ == '__main__':
    sys.exit(cmdline.main())
