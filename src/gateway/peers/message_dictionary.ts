import { Buffer } from "node:buffer";

/**
 * Text that messages between daemons have in common, the most frequent last. It is a part of the wire format: a daemon
 * with another text reads no packed message, so a change needs a new field beside `packed` of the card.
 */
const TEXT = [
  '{"type":"heartbeat_reply","from":{"vm":"","peer":"10.0.0.0:7340","front":',
  '"10.0.0.0:8227","domain":"","region":"","power":0.75,"startedAt":17960000',
  ',"open":true,"slow":false,"packed":true},"progress":{"version":1,"version',
  'AgeMs":100.0,"offset":1000,"ageMs":100.0,"era":1,"eraAgeMs":1,"evacuatio',
  'ns":{"offset":10,"era":1,"domains":[]}},"leader":"","roster":{"epoch":"/',
  '17960000","seq":100,"since":100,"joined":[],"gone":[]},"candidates":[],"',
  'behind":true,"contents":{"mark":""},"rates":[{"upstream":"","startedAt":',
  '1,"perSecond":1,"namedAgeMs":1}]}',
  '{"type":"changes","from":"","progress":{},"since":1000,"sinceEra":1,"cha',
  'nges":[{"type":"entry","entry":{"id":"","service":"","address":"10.0.0.0',
  ':8080","domain":"","slots":8,"leaving":true,"startedAt":17960000}},{"typ',
  'e":"gone","id":"","keptMs":1000}]}',
  '{"type":"heartbeat","from":{},"progress":{},"roster":{},"seeks":true,"fe',
  'tches":true,"jobs":[]}',
  '{"type":"wait","job":""}{"type":"deny","job":"","code":"deadline_unreach',
  'able","detail":"The first event is expected in 300 ms","retryAfterMs":80',
  '0}{"type":"progress","job":"/","upstream":"","phase":"ended","silence":"',
  'content":{"failed":"started"}',
  '{"type":"ask","ask":{"job":"/","req":"","vm":"","domain":"","service":""',
  ',"kind":"prompt","promptTokens":5000,"answerTokens":1500,"targetMs":300,',
  '"pauseMs":250,"leftMs":9990.0,"rank":1,"digest":"","sharedParts":[],"avo',
  'id":[],"closed":[]},"reply":"10.0.0.0:7340"}',
  '{"type":"placed","job":{"id":"/17960000","vm":"","service":"","kind":"ca',
  'll","helpers":[],"tickets":[{"upstream":"","tokens":10000}],"tokens":650',
  '0,"pauseMs":250,"writing":false,"placedAt":10000.0,"upstream":"","partMs',
  '":24.0},"by":"","more":[]}',
  '{"type":"grant","grant":{"job":{},"addresses":{"":"10.0.0.0:8080"},"prio',
  'rity":2,"expectMs":60.0,"counted":true}}',
].join("");

/** The dictionary of packed messages between daemons. */
export const MESSAGE_DICTIONARY: Buffer = Buffer.from(TEXT);
