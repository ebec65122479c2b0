#!/bin/sh
# Installs into a scratch directory, compiles the embedding examples with the
# flags of pkg-config, against the shared and the static library, and compares
# their output with the .expected files.
set -eu
build=$(mkdir -p "$1" && cd "$1" && pwd)
prefix=$2
root=$build/install
rm -rf "$root"
make -s install BUILD="$1" PREFIX="$prefix" DESTDIR="$root" >"$build/install.log"
export PKG_CONFIG_SYSROOT_DIR="$root"
export PKG_CONFIG_PATH="$root$prefix/lib/pkgconfig"
flags=$(pkg-config --cflags --libs chervilmast)
# System libraries are looked up without the scratch directory as sysroot.
private=$(PKG_CONFIG_SYSROOT_DIR= pkg-config --libs --static libxxhash)
for example in embed embed_steer; do
	cp "examples/$example.c" "$build/$example.c"
	cc -Wall -Wextra -Werror "$build/$example.c" $flags -o "$build/$example"
	LD_LIBRARY_PATH=$root$prefix/lib "$build/$example" >"$build/$example.output"
	diff -u "examples/$example.expected" "$build/$example.output"
	cc -Wall -Wextra -Werror "$build/$example.c" \
		$(pkg-config --cflags chervilmast) "$root$prefix/lib/libchervilmast.a" \
		$private -lm -pthread -o "$build/$example-static"
	"$build/$example-static" | diff -u "examples/$example.expected" -
done
"$root$prefix/bin/chervilmast" --version
pkg-config --modversion chervilmast
