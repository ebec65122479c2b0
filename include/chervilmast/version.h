/**
 * DOC: Library version
 */
#ifndef CHERVILMAST_VERSION_H
#define CHERVILMAST_VERSION_H

/** Version of the library and the binary: major.minor.patch. */
#define CM_VERSION "0.2.0"

#endif
