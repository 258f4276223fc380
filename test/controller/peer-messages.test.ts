import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DeferredPeerTransport } from '../../src/controller/peer-messages.js';
import type { ControllerId } from '../../src/model/units.js';

const PEER = 'n1' as ControllerId;

test('a deferred transport drops messages until it is opened, and then passes them on', () => {
  const sent: unknown[][] = [];
  const transport = new DeferredPeerTransport();
  transport.send(PEER, 'early');
  transport.broadcast('early');
  transport.open({
    send: (to, message) => sent.push(['send', to, message]),
    broadcast: (message) => sent.push(['broadcast', message]),
  });
  transport.send(PEER, 'one');
  transport.broadcast('all');
  assert.deepEqual(sent, [
    ['send', PEER, 'one'],
    ['broadcast', 'all'],
  ]);
});
