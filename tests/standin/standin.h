/**
 * DOC: Commands of the stand-in program
 *
 * A test program that stands in for the platform's key-value service ("store",
 * or "platform" for instances that steer by token) and for the fabric with its
 * callers and backend servers ("world").
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
 * standin_platform() - serve the platform's store over HTTP until SIGTERM
 * @argc: number of arguments
 * @argv: "platform" PORT FILE; FILE holds the initial keys as a JSON object
 *
 * Return: exit code.
 */
int standin_platform(int argc, char **argv);

/**
 * standin_set_faults() - set the faults of a running store
 * @argc: number of arguments
 * @argv: "switch" PORT JSON; JSON as in {"down": true, "slow_ms": 300}
 *
 * Prints the store's answer, which contains the number of calls so far.
 *
 * Return: exit code.
 */
int standin_set_faults(int argc, char **argv);

/**
 * standin_world() - send requests through instances and print the totals
 * @argc: number of arguments
 * @argv: "world" NOTE INSTANCES ADDRESS PORT CALLERS SECONDS SEED [ADMIN-PORT
 *        [DOMAIN]]
 *
 * NOTE is the file of the release note, INSTANCES the file of the store's
 * initial keys, ADDRESS and PORT those of the fabric, CALLERS the number of
 * callers, SECONDS the time for which they begin requests. ADMIN-PORT is the
 * admin port of all instances, 9100 by default. The process is to be sent
 * SIGUSR1 when the failure domain DOMAIN was taken out, and SIGUSR2 when it was
 * brought back.
 *
 * Return: exit code; 0 when at least one request was answered and no guarantee
 * was violated, 2 when an argument is missing or NOTE is invalid, otherwise 1.
 */
int standin_world(int argc, char **argv);

#endif
