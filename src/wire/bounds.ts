import { z } from "zod";
import { timerMs } from "../core/time.ts";
import { isPort, splitAddress } from "../gateway/address.ts";

/** Time range of `Date` in ms, on both sides of the epoch. */
const MAX_UNIX_MS = 8.64e15;
/** As many as an address has ports, so that each can be a connection. */
const MAX_COUNT = 65_535;
/** Longest DNS name, in characters. */
const MAX_HOST_LENGTH = 253;
/** Largest figure of a service; products of a few such figures stay finite. */
const MAX_FIGURE = 1e9;
/** A slower engine serves no caller in time. */
const MAX_PACE = 1_000;
const IPV4 = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3})$/;
const MAX_OCTET = 255;

function isAddress(address: string): boolean {
  const { host, port } = splitAddress(address);
  return host !== "" && host.length <= MAX_HOST_LENGTH &&
    /^[\w.-]+$/.test(host) && isPort(port) && address === `${host}:${port}`;
}

function isIpv4Address(address: string): boolean {
  const octets = IPV4.exec(splitAddress(address).host)?.slice(1) ?? [];
  return octets.length > 0 && isAddress(address) &&
    octets.every((octet) => Number(octet) <= MAX_OCTET);
}

/** Schema of `host:port` with a port from 1 to 65535, to which a connection can be tried without an exception. */
export const addressSchema = z.string().refine(isAddress, {
  error: "Not host:port with a port from 1 to 65535",
});

/** Schema of `IPv4:port` with octets up to 255 and a port from 1 to 65535. */
export const ipv4AddressSchema = z.string().refine(isIpv4Address, {
  error: "Not IPv4:port with octets up to 255 and a port from 1 to 65535",
});

/** Schema of a number of slots or attempts: 1 to 65535. */
export const positiveCountSchema = z.number().int().min(1).max(MAX_COUNT);

/** Schema of a point in time in Unix ms that a `Date` can have; 0 where it is not known. */
export const unixMsSchema = z.number().int().min(0).max(MAX_UNIX_MS);

/** Schema of a time limit in ms, above 0; a longer one than a timer waits is as long as that. */
export const timeLimitSchema = z.number().positive().transform(timerMs);

/** Schema of an age or a time in ms; negative ones are 0, and longer ones than a timer waits are as long as that. */
export const millisSchema = z.number().transform(timerMs);

/** Schema of how many times of its stated time an engine takes; predictions with the slowest one stay finite. */
export const paceSchema = z.number().positive()
  .transform((pace) => Math.min(MAX_PACE, pace));

/** Schema of a figure from 0 to 1e9, such as a size in tokens or a time per token. */
export const figureSchema = z.number().min(0).max(MAX_FIGURE);

/** Schema of a figure above 0, by which others may be divided. */
export const positiveFigureSchema = z.number().min(1 / MAX_FIGURE)
  .max(MAX_FIGURE);
