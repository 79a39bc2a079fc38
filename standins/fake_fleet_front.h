/**
 * @file fake_fleet_front.h
 * Serves the workers of a simulated deployment from further processes. One
 * process with the connections of a thousand workers spends most of its time
 * on lists of connections, so each front has a part of the workers. It passes
 * requests to the process of the deployment, and the responses back.
 */
#ifndef FAKE_FLEET_FRONT_H
#define FAKE_FLEET_FRONT_H

#include "fake_fleet.h"

typedef struct fake_fleet_front fake_fleet_front;

/** Called before each request is handled. */
typedef void (*fake_front_advance)(void *user_data);

/**
 * Forks a process that serves some workers and ends when this one has ended.
 * To be called before the process creates threads or a main loop.
 * @param first number of the first worker
 * @param stride the front serves every stride-th worker from there
 * @param count number of workers of the deployment
 * @return 0 or CS_E_SYSTEM
 */
int fake_fleet_front_fork(fake_fleet_front **out, uint32_t first,
                          uint32_t stride, uint32_t count);

/**
 * Sets the addresses of the front's workers and handles its requests on the
 * default main context. Waits until the front listens.
 * @param advance lets the deployment's time catch up
 * @return 0 or CS_E_SYSTEM
 */
int fake_fleet_front_attach(fake_fleet_front *front, fake_fleet *deployment,
                            fake_front_advance advance, void *user_data);

/** Ends the front's process; NULL is allowed. */
void fake_fleet_front_destroy(fake_fleet_front *front);

#endif
