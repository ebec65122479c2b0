/**
 * DOC: Per-thread slots
 *
 * Data that many threads access for each packet has one copy per slot, so that
 * the threads do not contend for cache lines. A thread keeps its slot for its
 * lifetime. When there are more than CM_SLOTS threads, some share a slot.
 */
#ifndef CHERVILMAST_SLOT_H
#define CHERVILMAST_SLOT_H

#include <pthread.h>
#include <stdint.h>

/** Number of slots. */
#define CM_SLOTS 8
/** Padding that keeps slots on separate cache lines, bytes. */
#define CM_SLOT_PADDING 64

/**
 * cm_slot_self() - slot of the calling thread
 *
 * Return: a number below CM_SLOTS.
 */
uint32_t cm_slot_self(void);

/**
 * struct cm_slot_lock - a read-write lock with one lock for each slot
 * @slots: the locks; a reader takes that of its thread's slot, a writer takes
 *         all of them
 */
struct cm_slot_lock {
	struct {
		pthread_rwlock_t lock;
		uint8_t padding[CM_SLOT_PADDING];
	} slots[CM_SLOTS];
};

/**
 * cm_slot_lock_init() - initialize a lock
 * @lock: uninitialized memory, owned by the calling function
 */
void cm_slot_lock_init(struct cm_slot_lock *lock);

/**
 * cm_slot_lock_finish() - destroy a lock
 * @lock: the lock; the struct itself is not freed
 */
void cm_slot_lock_finish(struct cm_slot_lock *lock);

/**
 * cm_slot_lock_read() - lock for reading
 * @lock: the lock
 */
void cm_slot_lock_read(struct cm_slot_lock *lock);

/**
 * cm_slot_lock_end_read() - unlock, by the thread that locked for reading
 * @lock: the lock
 */
void cm_slot_lock_end_read(struct cm_slot_lock *lock);

/**
 * cm_slot_lock_write() - lock for writing; waits for the readers of each slot
 * @lock: the lock
 */
void cm_slot_lock_write(struct cm_slot_lock *lock);

/**
 * cm_slot_lock_end_write() - unlock after writing
 * @lock: the lock
 */
void cm_slot_lock_end_write(struct cm_slot_lock *lock);

#endif
