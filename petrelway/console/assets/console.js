'use strict';
(function () {
  var box = document.getElementById('live');
  if (!box || !window.EventSource) return;
  var source = new EventSource('/live');
  source.onmessage = function (event) {
    var told = JSON.parse(event.data);
    var shown = {service: (100 * told.service).toFixed(1) + '%', taken: told['last minute'].taken,
      open: told.open, held: told.held, loads: told.loads, lag: told['lag ms'].toFixed(1) + ' ms', step: told.step,
      found: told.copies.found, began: told.copies.began, awaited: told.copies.awaited};
    Object.keys(shown).forEach(function (key) {
      var at = document.getElementById('live-' + key);
      if (at) at.textContent = shown[key];
    });
    var most = Math.max.apply(null, told.series.concat([1]));
    var path = told.series.map(function (value, i) {
      return (i ? 'L' : 'M') + (i * 10) + ' ' + (88 - 84 * value / most).toFixed(1);
    }).join(' ');
    document.getElementById('live-chart').setAttribute('d', path);
    box.setAttribute('data-updates', String(1 + Number(box.getAttribute('data-updates') || 0)));
  };
})();
