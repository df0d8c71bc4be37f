"""Entry point on the platform.

Takes no arguments: everything comes from the platform's settings file.
"""

import gc
import sys

from laburnumlatch.platform import bytecode

EXIT_BAD_SETTINGS = 1


def main():
    """Run the agent; return the exit status.

    Invalid settings are reported on standard error.
    """
    # Nearly all objects that imports create stay, so that searches for garbage
    # among them find nothing.
    gc.disable()
    bytecode.install()
    # Imported here, as only later imports use the bytecode.
    from laburnumlatch.core import errors
    from laburnumlatch.platform import bootfile
    from laburnumlatch.platform import runner

    gc.freeze()
    gc.enable()
    try:
        runner.run(bootfile.path())
    except errors.InvalidInputError as error:
        sys.stderr.write(f'settings: {error}\n')
        return EXIT_BAD_SETTINGS
    return 0


if __name__ == '__main__':
    sys.exit(main())
