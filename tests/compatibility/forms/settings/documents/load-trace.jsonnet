// A load that a trace tells.
{ arrivals: { seconds: 5, trace: 'trace.csv' } }
