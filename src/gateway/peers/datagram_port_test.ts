import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import { DatagramPort } from "./datagram_port.ts";

test.each(["127.0.0.1:99999", "127.0.0.1:65536", "127.0.0.1:0", "nowhere", ""])(
  "a datagram to %j, which no datagram can be sent to, ended the process: it counts as failed",
  async (address) => {
    const port = DatagramPort.create(() => {});
    await port.bind("127.0.0.1", 0);
    try {
      port.send(address, Buffer.from("{}"));
      expect(port.failed).toBe(1);
    } finally {
      port.close();
    }
  },
);
