/**
 * DOC: Invariants
 *
 * Assertions on internal state, which abort the program. They are compiled in
 * only with the build option CM_INVARIANTS.
 */
#ifndef CORE_INVARIANT_H
#define CORE_INVARIANT_H

#ifdef CM_INVARIANTS

#include <stdio.h>
#include <stdlib.h>

#define CM_INVARIANT(condition)                                    \
	do {                                                       \
		if (!(condition)) {                                \
			fprintf(stderr,                            \
				"event=invariant_broken at=%s:%d " \
				"condition=\"%s\"\n",              \
				__FILE__, __LINE__, #condition);   \
			abort();                                   \
		}                                                  \
	} while (0)

#else

#define CM_INVARIANT(condition) ((void)sizeof(condition))

#endif

#endif
