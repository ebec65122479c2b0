/**
 * DOC: Commands of the stand-in program
 *
 * A test program that stands in for the platform's key-value service ("store")
 * and for the fabric with its callers and backend servers ("world").
 */
#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

/**
 * standin_store() - serve a key-value store over HTTP until SIGTERM
 * @argc: number of arguments
 * @argv: "store" PORT FILE; FILE holds the initial keys as a JSON object
 *
 * Return: exit code.
 */
int standin_store(int argc, char **argv);

/**
 * standin_set_faults() - set the faults of a running store
 * @argc: number of arguments
 * @argv: "switch" PORT JSON; JSON as in {"down": true, "slow_ms": 300}
 *
 * Prints the store's answer, which holds the number of calls so far.
 *
 * Return: exit code.
 */
int standin_set_faults(int argc, char **argv);

/**
 * standin_world() - send requests through instances and print the totals
 * @argc: number of arguments
 * @argv: "world" NOTE INSTANCES ADDRESS PORT CALLERS SECONDS SEED [ADMIN-PORT
 *        [DOMAIN]]; SIGUSR1 tells that DOMAIN was taken out, SIGUSR2 that it
 *        was brought back
 *
 * NOTE is the file of the release note, INSTANCES the file of the store's
 * initial keys, ADDRESS and PORT those of the fabric.
 *
 * Return: exit code; 1 when a guarantee was violated or no answer was received.
 */
int standin_world(int argc, char **argv);

#endif
