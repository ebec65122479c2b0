#include "chervilmast/slot.h"

#include <ck_pr.h>

static uint32_t next_slot;

uint32_t cm_slot_self(void)
{
	static _Thread_local uint32_t slot_plus_one;

	if (!slot_plus_one)
		slot_plus_one = ck_pr_faa_32(&next_slot, 1) % CM_SLOTS + 1;
	return slot_plus_one - 1;
}

void cm_slot_lock_init(struct cm_slot_lock *lock)
{
	for (int i = 0; i < CM_SLOTS; i++)
		pthread_rwlock_init(&lock->slots[i].lock, NULL);
}

void cm_slot_lock_finish(struct cm_slot_lock *lock)
{
	for (int i = 0; i < CM_SLOTS; i++)
		pthread_rwlock_destroy(&lock->slots[i].lock);
}

void cm_slot_lock_read(struct cm_slot_lock *lock)
{
	pthread_rwlock_rdlock(&lock->slots[cm_slot_self()].lock);
}

void cm_slot_lock_end_read(struct cm_slot_lock *lock)
{
	pthread_rwlock_unlock(&lock->slots[cm_slot_self()].lock);
}

/* Locks in a fixed order, so that two writers cannot deadlock. */
void cm_slot_lock_write(struct cm_slot_lock *lock)
{
	for (int i = 0; i < CM_SLOTS; i++)
		pthread_rwlock_wrlock(&lock->slots[i].lock);
}

void cm_slot_lock_end_write(struct cm_slot_lock *lock)
{
	for (int i = CM_SLOTS - 1; i >= 0; i--)
		pthread_rwlock_unlock(&lock->slots[i].lock);
}
