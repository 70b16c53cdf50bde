"""Configurations and workers of a small site."""

from __future__ import annotations

import json

import workers

HOST = 'ficu95.example'
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 33554432,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}


def plain_service(name):
    return {
        'name': name,
        'healthPath': '/health',
        'maxConns': 110,
        'protocol': 'h1',
        'tls': False,
    }


def engine_service(name, slots, models):
    return {
        **plain_service(name),
        'maxConns': 160,
        'engine': {
            'slots': slots,
            'kvTokens': 77909,
            'models': [{'name': model} for model in models],
        },
    }


def rollout_route(name, prefix, service):
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'routeType': 'rollout',
        'timeoutMs': 10000,
        'targetLatencyMs': 400,
        'priority': 1,
        'service': service,
        'maxAttempts': 3,
        'dueMs': 7500,
        'retentionS': 60,
    }


def safe_route(name, prefix, service):
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'routeType': 'safe',
        'timeoutMs': 2000,
        'targetLatencyMs': 192,
        'priority': 2,
        'service': service,
        'maxAttempts': 3,
    }


def stream_route(name, prefix, service):
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'routeType': 'stream',
        'timeoutMs': 10000,
        'targetLatencyMs': 400,
        'priority': 1,
        'service': service,
        'maxAttempts': 3,
        'resumable': True,
    }


def put_config(store, version, routes, services, record):
    """Write a configuration; the store's answer acknowledges it."""
    value = {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': LIMITS,
    }
    store.put('op/config', json.dumps(value).encode())
    record(f'configuration {version} acknowledged')


async def start_plain_workers(store, record, fleet, zones, service='liftdesk'):
    """Start a plain service with one worker in each zone."""
    found = []
    for number, zone in enumerate(zones):
        worker = workers.Worker(
            store,
            record,
            f'{service}{number}',
            service,
            zone,
            6,
            is_engine=False,
        )
        await worker.start(f'{fleet.net}.4.{number + 1}')
        found.append(worker)
    return found


async def start_engines(
    store, record, fleet, zones, service, slots, events, first
):
    """Start the workers of a service of models, one in each named zone."""
    found = []
    for number, zone in enumerate(zones):
        engine = workers.Worker(
            store,
            record,
            f'{service}{number}',
            service,
            zone,
            slots,
            is_engine=True,
            events=events,
        )
        await engine.start(f'{fleet.net}.3.{first + number}')
        found.append(engine)
    return found
