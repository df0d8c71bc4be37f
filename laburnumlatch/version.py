"""The version of this package."""

VERSION = '0.1.0'
